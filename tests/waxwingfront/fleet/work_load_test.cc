#include "waxwingfront/fleet/work_load.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

// Four tasks of a job fit on an executor.
constexpr std::int64_t kTaskMemoryMib = 250'000;
constexpr std::uint32_t kTasksPerExecutor = 4;
constexpr std::int64_t kPeriodMs = 200;
// After the time that makes an overload.
constexpr std::int64_t kLongMs = 3000;

schema::fleet_job BestEffortJob(const std::string& id, std::uint32_t tasks,
                                const std::string& image = "heavy") {
  schema::fleet_job job = JobOf(id, tasks, 1000);
  schema::fleet_step& step = *job.mutable_steps(0);
  step.set_fills(true);
  step.set_image(image);
  step.set_memory_mb(kTaskMemoryMib);
  step.set_estimated_ms(60'000);
  return job;
}

// Asks for jobs until `until_ms`, without submitting any.
void Observe(fleet_fixture& fixture, std::int64_t until_ms) {
  for (std::int64_t ms = kPeriodMs; ms <= until_ms; ms += kPeriodMs) {
    fixture.StepAccepted(ms);
    fixture.Core().AdmitWork(BestEffortJob("asked", 1, "unused"), At(ms));
  }
}

// A fleet of one executor with as many tasks again that wait for room.
struct overloaded_fleet {
  overloaded_fleet() {
    fixture.AddExecutor("e", 100'000);
    fixture.Core().Submit(BestEffortJob("first", 2 * kTasksPerExecutor), At(0));
    Observe(fixture, kLongMs);
  }

  bool Rejects(const schema::fleet_job& job) {
    return fixture.Core().AdmitWork(job, At(kLongMs)).has_value();
  }

  fleet_fixture fixture;
};

TEST_CASE("best-effort jobs are rejected while others wait for room",
          "[fleet]") {
  overloaded_fleet fleet;
  const auto refusal =
      fleet.fixture.Core().AdmitWork(BestEffortJob("new", 1), At(kLongMs));
  REQUIRE(refusal);
  CHECK(refusal->level.jobs == 1);
  CHECK(refusal->level.running == kTasksPerExecutor);
  CHECK(refusal->level.waiting == kTasksPerExecutor);
  CHECK(refusal->level.working == kTasksPerExecutor);
  CHECK(refusal->level.standing == kTasksPerExecutor);
  CHECK_FALSE(fleet.Rejects(BestEffortJob("light", 1, "light")));
}

// Guards against refusals of jobs that do not compete for spare capacity.
TEST_CASE("only short best-effort jobs are rejected for want of room",
          "[fleet]") {
  overloaded_fleet fleet;
  schema::fleet_job ordinary = BestEffortJob("ordinary", 1);
  ordinary.mutable_steps(0)->set_fills(false);
  CHECK_FALSE(fleet.Rejects(ordinary));
  schema::fleet_job long_running = BestEffortJob("long_running", 1);
  long_running.mutable_steps(0)->set_long_running(true);
  CHECK_FALSE(fleet.Rejects(long_running));
  schema::fleet_job repeating = BestEffortJob("repeating", 1);
  repeating.set_repetitions(2);
  repeating.set_interval_ms(1000);
  CHECK_FALSE(fleet.Rejects(repeating));
  CHECK(fleet.Rejects(BestEffortJob("new", 1)));
}

// Guards against refusals because tasks wait for the leader or its link.
TEST_CASE("tasks that no planning round has considered do not reject jobs",
          "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("e", 100'000);
  fixture.Core().Submit(BestEffortJob("first", 2), At(0));
  fixture.StepAccepted(kPeriodMs);
  fixture.Core().Submit(BestEffortJob("unplanned", 50), At(kPeriodMs));
  for (std::int64_t ms = 2 * kPeriodMs; ms <= kLongMs; ms += kPeriodMs) {
    CHECK_FALSE(
        fixture.Core().AdmitWork(BestEffortJob("new", 1), At(ms)).has_value());
  }
}

fleet::work_level HeavyWork(fleet_fixture& fixture, std::int64_t ms) {
  return fixture.Core()
      .ShortWork(At(ms).now)
      .at({.queue = "q", .image = "heavy"});
}

// Guards against refusals because of tasks that are about to be placed.
TEST_CASE("tasks stand once they have waited for room for a while", "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("e", 100'000);
  fixture.Core().Submit(BestEffortJob("first", kTasksPerExecutor + 2), At(0));
  fixture.StepAccepted(10);
  CHECK(HeavyWork(fixture, 200).running == kTasksPerExecutor);
  CHECK(HeavyWork(fixture, 200).waiting == 2);
  CHECK(HeavyWork(fixture, 200).standing == 0.0);
  CHECK(HeavyWork(fixture, 300).standing == 2.0);
}

// Guards against refusals for the sake of work that is given up.
TEST_CASE("tasks of useless jobs do not stand", "[fleet]") {
  overloaded_fleet fleet;
  CHECK(HeavyWork(fleet.fixture, kLongMs).standing == kTasksPerExecutor);
  // Three times the objective of 121 s, less the estimate.
  CHECK(HeavyWork(fleet.fixture, 310'000).standing == 0.0);
}

// Guards against refusals while executors are free.
TEST_CASE("tasks that may run on few executors do not reject others",
          "[fleet]") {
  fleet::fleet_options options;
  options.remote_factor = 2.0;
  fleet_fixture fixture({{}}, options);
  for (int i = 0; i < 10; ++i) {
    fixture.AddExecutor("e" + std::to_string(i), 100'000);
  }
  fixture.Core().Submit(BestEffortJob("work", kTasksPerExecutor), At(0));
  schema::fleet_job odd = BestEffortJob("odd", 3 * kTasksPerExecutor);
  SECTION("for want of a label") {
    odd.mutable_steps(0)->set_required_label("none");
  }
  SECTION("while they wait for the rack of their data") {
    fixture.AddExecutor("r", 100'000);
    fleet::executor_info info = fixture.Core().FindExecutor("r")->info;
    info.rack = "rack";
    fixture.Core().SetExecutor(info);
    odd.mutable_steps(0)->set_data_rack("rack");
  }
  fixture.Core().Submit(odd, At(0));
  Observe(fixture, kLongMs);
  CHECK(HeavyWork(fixture, kLongMs).waiting > 0);
  CHECK(HeavyWork(fixture, kLongMs).standing == 0.0);
  CHECK_FALSE(fixture.Core().AdmitWork(BestEffortJob("new", 1), At(kLongMs)));
}

// Guards against refusals by a new leader, and after pace orders that failed.
TEST_CASE("tasks whose pace is unknown do not stand", "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("e", 100'000);
  fixture.Core().Submit(BestEffortJob("first", kTasksPerExecutor), At(0));
  fixture.StepAccepted(10);
  for (std::uint32_t i = 0; i < kTasksPerExecutor; ++i) {
    fixture.Core().Runs().OnPaceFailed({.executor = "e",
                                        .task = {.job = "first", .index = i},
                                        .run = 1,
                                        .percent = 100});
  }
  CHECK(HeavyWork(fixture, 200).working == kTasksPerExecutor);
  CHECK(HeavyWork(fixture, 200).standing == 0.0);
}

}  // namespace
}  // namespace waxwingfront::tests
