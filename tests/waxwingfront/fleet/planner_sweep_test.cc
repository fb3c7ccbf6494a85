// Guards against planning that falls behind for good on a slow machine: each
// round ranks all waiting jobs, so that the visits have to keep pace with them.
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

// Rounds per second of an overloaded leader.
constexpr int kRoundsPerSecond = 8;
constexpr std::int64_t kRoundMs = 1000 / kRoundsPerSecond;
constexpr std::int64_t kCapacity = 32'000;

TEST_CASE("rounds that are out of time visit a job again within 9 s",
          "[fleet]") {
  // Long-running tasks count as lost 9 s after their last run.
  constexpr int kRounds = 9 * kRoundsPerSecond;
  constexpr int kJobs = 500;
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Submit(JobOf("first", 1, kCapacity), At(0));
  const fleet::orders first = fixture.StepAccepted(0);
  REQUIRE(first.starts.size() == 1);
  const auto plan = [&fixture](std::int64_t at_ms) {
    fixture.Core().Plan(At(at_ms), [] { return true; });
    fixture.Store(at_ms);
    return fixture.Core().TakeOrders(At(at_ms)).starts.size();
  };
  fixture.Core().Submit(JobOf("next", 1, kCapacity), At(1));
  for (int i = 0; i < kJobs; ++i) {
    fixture.Core().Submit(JobOf("large" + std::to_string(i), 1, 2 * kCapacity),
                          At(2));
  }
  // The first job ends just after the visit of the next one.
  REQUIRE(plan(10) == 0);
  std::size_t started = 0;
  for (int round = 1; round <= kRounds; ++round) {
    fixture.Report("a", round * kRoundMs, {},
                   {{.number = 1,
                     .task = first.starts[0].task,
                     .run = first.starts[0].run,
                     .how = fleet::run_end::kDone}});
    started += plan(round * kRoundMs);
  }
  CHECK(started == 1);
}

TEST_CASE("jobs that fit nowhere do not make one that fits useless",
          "[fleet]") {
  constexpr int kJobs = 500;
  // The job takes 1 s, and its objective is 3 s. A job that ends later than
  // three times its objective is useless.
  constexpr std::int64_t kLatestStartMs = 8000;
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Submit(JobOf("first", 1, kCapacity), At(0));
  const fleet::orders first = fixture.StepAccepted(0);
  REQUIRE(first.starts.size() == 1);
  const auto plan = [&fixture](std::int64_t at_ms) {
    fixture.Core().Plan(At(at_ms), [] { return true; });
    fixture.Store(at_ms);
    return fixture.Core().TakeOrders(At(at_ms)).starts.size();
  };
  fixture.Core().Submit(JobOf("next", 1, kCapacity), At(1));
  for (int i = 0; i < kJobs; ++i) {
    fixture.Core().Submit(JobOf("large" + std::to_string(i), 1, 2 * kCapacity),
                          At(2));
  }
  // The first job ends just after the visit of the next one.
  REQUIRE(plan(10) == 0);
  std::size_t started = 0;
  for (std::int64_t at_ms = kRoundMs; at_ms <= kLatestStartMs;
       at_ms += kRoundMs) {
    fixture.Report("a", at_ms, {},
                   {{.number = 1,
                     .task = first.starts[0].task,
                     .run = first.starts[0].run,
                     .how = fleet::run_end::kDone}});
    started += plan(at_ms);
  }
  CHECK(started == 1);
}

TEST_CASE("a step that becomes ready is planned for while other jobs arrive",
          "[fleet]") {
  constexpr std::int64_t kFirstStepEndMs = 1000;
  // The job's objective is 2.5 s. A job that ends later than three times its
  // objective is useless.
  constexpr std::int64_t kLatestStartMs = 6500;
  fleet_fixture fixture(
      {{}, {.name = "tight", .stretch = 1.0, .target_duration_ms = 500}});
  fixture.AddExecutor("a", kCapacity);
  schema::fleet_job job = JobOf("job", 1, 1000, "tight");
  *job.add_steps() = job.steps(0);
  job.mutable_steps(1)->add_after(0);
  fixture.Core().Submit(job, At(0));
  const fleet::orders first = fixture.StepAccepted(0);
  REQUIRE(first.starts.size() == 1);
  const fleet::start_order& start = first.starts.front();
  std::size_t started = 0;
  for (std::int64_t at_ms = kRoundMs; at_ms < kLatestStartMs;
       at_ms += kRoundMs) {
    const std::string id = std::to_string(at_ms);
    fixture.Core().Submit(JobOf("early" + id, 1, 2 * kCapacity), At(at_ms));
    fixture.Core().Submit(JobOf("late" + id, 1, 2 * kCapacity), At(at_ms));
    if (at_ms < kFirstStepEndMs) {
      fixture.Report("a", at_ms, {{.task = start.task, .run = start.run}});
    } else {
      fixture.Report("a", at_ms, {},
                     {{.number = 1,
                       .task = start.task,
                       .run = start.run,
                       .how = fleet::run_end::kDone}});
    }
    fixture.Core().Plan(At(at_ms), [] { return true; });
    fixture.Store(at_ms);
    started += fixture.Core().TakeOrders(At(at_ms)).starts.size();
  }
  CHECK(started == 1);
}

TEST_CASE("a job that can be on time does not wait for visits of useless ones",
          "[fleet]") {
  constexpr int kUselessJobs = 200;
  constexpr std::int64_t kNowMs = 60'000;
  // The job takes 1 s, and its objective is 3 s.
  constexpr std::int64_t kLatestStartMs = kNowMs + 2000;
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  for (int i = 0; i < kUselessJobs; ++i) {
    fixture.Core().Submit(JobOf("large" + std::to_string(i), 1, 2 * kCapacity),
                          At(0));
  }
  fixture.Core().Submit(JobOf("first", 1, kCapacity), At(0));
  const fleet::orders first = fixture.StepAccepted(10);
  REQUIRE(first.starts.size() == 1);
  const std::vector<fleet::running_report> running = {
      {.task = first.starts[0].task, .run = first.starts[0].run}};
  fixture.Report("a", kNowMs, running);
  fixture.Core().Submit(JobOf("fresh", 1, kCapacity), At(kNowMs));
  const auto plan = [&fixture](std::int64_t at_ms) {
    fixture.Core().Plan(At(at_ms), [] { return true; });
    fixture.Store(at_ms);
    return fixture.Core().TakeOrders(At(at_ms)).starts.size();
  };
  // The first job ends just after the visit of the fresh one.
  REQUIRE(plan(kNowMs) == 0);
  std::size_t started = 0;
  for (std::int64_t at_ms = kNowMs + kRoundMs; at_ms <= kLatestStartMs;
       at_ms += kRoundMs) {
    fixture.Report("a", at_ms, {},
                   {{.number = 1,
                     .task = first.starts[0].task,
                     .run = first.starts[0].run,
                     .how = fleet::run_end::kDone}});
    started += plan(at_ms);
  }
  CHECK(started == 1);
}

TEST_CASE("a useless job does not wait for good while other jobs arrive",
          "[fleet]") {
  constexpr std::int64_t kNowMs = 60'000;
  // The platform allows that a job stands still for 3 s beside idle executors.
  constexpr std::int64_t kLatestStartMs = kNowMs + 3000;
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Submit(JobOf("first", 1, kCapacity), At(0));
  const fleet::orders first = fixture.StepAccepted(0);
  REQUIRE(first.starts.size() == 1);
  fixture.Core().Submit(JobOf("useless", 1, kCapacity), At(1));
  REQUIRE(fixture.Step(10).starts.empty());
  std::size_t started = 0;
  for (std::int64_t at_ms = kNowMs; at_ms <= kLatestStartMs;
       at_ms += kRoundMs) {
    for (const char* const name : {"early", "late"}) {
      schema::fleet_job job = JobOf(name + std::to_string(at_ms), 1, 1000);
      job.mutable_steps(0)->set_required_label("gpu");
      fixture.Core().Submit(job, At(at_ms));
    }
    fixture.Report("a", at_ms, {},
                   {{.number = 1,
                     .task = first.starts[0].task,
                     .run = first.starts[0].run,
                     .how = fleet::run_end::kDone}});
    fixture.Core().Plan(At(at_ms), [] { return true; });
    fixture.Store(at_ms);
    started += fixture.Core().TakeOrders(At(at_ms)).starts.size();
  }
  CHECK(started == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
