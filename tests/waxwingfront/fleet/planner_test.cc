#include "waxwingfront/fleet/planner.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

TEST_CASE("a job of an urgent queue is placed first when capacity is short",
          "[fleet]") {
  fleet_fixture fixture(
      {{.name = "urgent", .priority = 0}, {.name = "later", .priority = 2}});
  fixture.AddExecutor("a", 2000);
  fixture.Core().Submit(JobOf("old", 1, 2000, "later"), At(0));
  fixture.Core().Submit(JobOf("new", 1, 2000, "urgent"), At(5));
  const fleet::orders decided = fixture.Step(10);
  REQUIRE(decided.starts.size() == 1);
  CHECK(decided.starts[0].task.job == "new");
}

TEST_CASE("jobs that can still be on time are placed before late ones",
          "[fleet]") {
  fleet_fixture fixture;
  fixture.Core().Submit(JobOf("late", 1, 2000), At(0));
  fixture.Core().Submit(JobOf("fresh", 1, 2000), At(5000));
  // The objective is twice the work of 1 s plus 1 s.
  fixture.AddExecutor("a", 2000, 5000);
  const fleet::orders decided = fixture.Step(5010);
  REQUIRE(decided.starts.size() == 1);
  CHECK(decided.starts[0].task.job == "fresh");
}

TEST_CASE("a step starts only after the steps it depends on", "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", 8000);
  schema::fleet_job job = JobOf("job", 2, 1000);
  schema::fleet_step& second = *job.add_steps();
  second.set_task_count(1);
  second.set_cpu_millis(1000);
  second.add_after(0);
  fixture.Core().Submit(job, At(0));
  const fleet::orders first = fixture.StepAccepted(10);
  REQUIRE(first.starts.size() == 2);
  const auto end = [&first](std::uint64_t number) {
    const fleet::start_order& start = first.starts[number - 1];
    return fleet::ended_report{.number = number,
                               .task = start.task,
                               .run = start.run,
                               .how = fleet::run_end::kDone};
  };
  fixture.Report("a", 1000,
                 {{.task = first.starts[1].task, .run = first.starts[1].run}},
                 {end(1)});
  CHECK(fixture.Step(1010).starts.empty());
  fixture.Report("a", 1100, {}, {end(2)});
  const fleet::orders next = fixture.Step(1110);
  REQUIRE(next.starts.size() == 1);
  CHECK(next.starts[0].task.step == 1);
}

TEST_CASE("no executor exceeds a step's limit or its own capacity", "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", 8000);
  fixture.AddExecutor("b", 1000);
  schema::fleet_job job = JobOf("job", 6, 1000);
  SECTION("step limit") {
    job.mutable_steps(0)->set_max_per_executor(2);
    fixture.Core().Submit(job, At(0));
    CHECK(fixture.Step(10).starts.size() == 3);
  }
  SECTION("capacity") {
    job.mutable_steps(0)->set_cpu_millis(3000);
    fixture.Core().Submit(job, At(0));
    CHECK(fixture.Step(10).starts.size() == 2);
  }
  SECTION("required label") {
    job.mutable_steps(0)->set_required_label("gpu");
    fixture.Core().Submit(job, At(0));
    CHECK(fixture.Step(10).starts.empty());
  }
}

TEST_CASE(
    "a draining executor gets no new tasks, and its long-running tasks move",
    "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", 8000);
  schema::fleet_job job = JobOf("job", 1, 1000);
  job.mutable_steps(0)->set_long_running(true);
  fixture.Core().Submit(job, At(0));
  // Long-running tasks are batched for a moment before they are placed.
  CHECK(fixture.Step(10).starts.empty());
  const fleet::orders first = fixture.StepAccepted(1600);
  REQUIRE(first.starts.size() == 1);
  fixture.AddExecutor("b", 8000, 1700);
  fleet::executor_info leaving = fixture.Core().FindExecutor("a")->info;
  leaving.draining = true;
  fixture.Core().SetExecutor(leaving);
  const fleet::orders moved = fixture.Step(2010);
  CHECK(moved.starts.empty());
  REQUIRE(moved.stops.size() == 1);
  fixture.Report("a", 2100, {},
                 {{.number = 1,
                   .task = first.starts[0].task,
                   .run = first.starts[0].run,
                   .how = fleet::run_end::kStopped}});
  fixture.Step(2110);
  const fleet::orders again = fixture.Step(4000);
  REQUIRE(again.starts.size() == 1);
  CHECK(again.starts[0].executor == "b");
}

TEST_CASE("a task that failed on an executor is retried on another one",
          "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", 8000);
  fixture.AddExecutor("b", 8000);
  fixture.Core().Submit(JobOf("job", 1, 1000), At(0));
  const fleet::orders first = fixture.StepAccepted(10);
  REQUIRE(first.starts.size() == 1);
  fixture.Report(first.starts[0].executor, 500, {},
                 {{.number = 1,
                   .task = first.starts[0].task,
                   .run = first.starts[0].run,
                   .how = fleet::run_end::kFailed}});
  const fleet::orders second = fixture.Step(510);
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].executor != first.starts[0].executor);
}

TEST_CASE("short tasks do not starve a long-running task", "[fleet]") {
  constexpr std::int64_t kCores = 8000;
  constexpr std::int64_t kShortMs = 500;
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCores);
  schema::fleet_job long_running = JobOf("long-running", 1, kCores);
  long_running.mutable_steps(0)->set_long_running(true);
  // Two short tasks of half the executor overlap at any time.
  std::int64_t now = 0;
  std::uint64_t ends = 0;
  std::vector<std::pair<std::int64_t, fleet::start_order>> running;
  std::int64_t started = -1;
  for (int n = 0; now < 9000 && started < 0; now += kShortMs / 4, ++n) {
    if (n == 2) fixture.Core().Submit(long_running, At(now));
    fixture.Core().Submit(JobOf("short" + std::to_string(n), 1, kCores / 2),
                          At(now));
    std::vector<fleet::ended_report> ended;
    std::vector<fleet::running_report> rows;
    std::erase_if(running, [&](const auto& entry) {
      const auto& [until, start] = entry;
      if (until > now) {
        rows.push_back({.task = start.task, .run = start.run});
        return false;
      }
      ended.push_back({.number = ++ends,
                       .task = start.task,
                       .run = start.run,
                       .how = fleet::run_end::kDone});
      return true;
    });
    fixture.Report("a", now, rows, ended);
    for (const fleet::start_order& start :
         fixture.StepAccepted(now + 1).starts) {
      if (start.task.job == "long-running") started = now;
      running.emplace_back(now + kShortMs, start);
    }
  }
  // The platform considers it lost 9 s after it became due.
  CHECK(started >= 0);
  CHECK(started < 6000);
}

}  // namespace
}  // namespace waxwingfront::tests
