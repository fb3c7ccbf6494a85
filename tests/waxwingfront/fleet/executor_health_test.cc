#include "waxwingfront/fleet/executor_health.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("an executor is avoided for longer with each failing job",
          "[fleet][health]") {
  fleet::executor_health health;
  CHECK(health.OnFailure("a", false, At(0).now) == milliseconds(0));
  CHECK(health.OnFailure("a", false, At(10).now) == milliseconds(0));
  CHECK(health.OnFailure("b", false, At(20).now) == milliseconds(1000));
  CHECK(health.OnFailure("c", false, At(1100).now) == milliseconds(2000));
  CHECK(health.OnFailure("d", false, At(3200).now) == milliseconds(4000));
  CHECK(health.OnFailure("e", false, At(7300).now) == milliseconds(4000));
}

// Guards against tasks that were started before the executor began to fail and
// make it look healthy.
TEST_CASE("only runs placed after a failure make up for it",
          "[fleet][health]") {
  fleet::executor_health health;
  health.OnFailure("a", false, At(100).now);
  health.OnFailure("b", false, At(200).now);
  health.OnSuccess(At(150).now);
  CHECK(health.IsSuspect(At(300).now));
  health.OnSuccess(At(300).now);
  CHECK_FALSE(health.IsSuspect(At(400).now));
  CHECK_FALSE(health.IsProven(At(400).now));
  health.OnSuccess(At(400).now);
  CHECK(health.IsProven(At(500).now));
  CHECK_FALSE(health.IsProven(At(5400).now));
}

TEST_CASE("a task that has failed prefers an executor with a recent success",
          "[fleet][health]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", 1000);
  fixture.Core().Submit(JobOf("job", 1, 1000), At(0));
  const fleet::orders first = fixture.StepAccepted(10);
  REQUIRE(first.starts.size() == 1);
  // Best fit would prefer the smaller one.
  fixture.AddExecutor("unproven", 2000, 20);
  fixture.AddExecutor("proven", 8000, 20);
  fixture.Core().FindExecutor("proven")->health.OnSuccess(At(20).now);
  fixture.Report("a", 100, {},
                 {{.number = 1,
                   .task = first.starts[0].task,
                   .run = 1,
                   .how = fleet::run_end::kFailed}});
  const fleet::orders second = fixture.Step(110);
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].executor == "proven");
}

// Guards against second attempts that fail because executors begin to fail at
// once, before any of them is suspect.
TEST_CASE("a task that has failed avoids an executor with a recent failure",
          "[fleet][health]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", 1000);
  fixture.Core().Submit(JobOf("job", 1, 1000), At(0));
  const fleet::orders first = fixture.StepAccepted(10);
  REQUIRE(first.starts.size() == 1);
  // Best fit would prefer the smaller one.
  fixture.AddExecutor("fails", 2000, 20);
  fixture.AddExecutor("unused", 8000, 20);
  fixture.Core().FindExecutor("fails")->health.OnFailure("other", false,
                                                         At(20).now);
  fixture.Report("a", 100, {},
                 {{.number = 1,
                   .task = first.starts[0].task,
                   .run = 1,
                   .how = fleet::run_end::kFailed}});
  // Others still use executors with a failure.
  fixture.Core().Submit(JobOf("fresh", 1, 1000), At(100));
  const fleet::orders second = fixture.Step(110);
  REQUIRE(second.starts.size() == 2);
  for (const fleet::start_order& start : second.starts) {
    CHECK((start.executor == "unused") == (start.task.job == "job"));
  }
}

TEST_CASE("a job that fails everywhere makes no executor suspect",
          "[fleet][health]") {
  fleet::executor_health health;
  health.OnFailure("hopeless", true, At(0).now);
  health.OnFailure("another", true, At(0).now);
  CHECK_FALSE(health.IsSuspect(At(0).now));
}

TEST_CASE("a failure is forgotten after a while", "[fleet][health]") {
  fleet::executor_health health;
  health.OnFailure("a", false, At(0).now);
  CHECK_FALSE(health.IsSuspect(At(0).now));
  health.OnFailure("b", false, At(0).now);
  CHECK(health.IsSuspect(At(4999).now));
  CHECK_FALSE(health.IsSuspect(At(5000).now));
}

// Guards against jobs that fail for good because of an executor that fails all
// it starts, frees its capacity at once and so attracts all their attempts.
struct failing_executors_play {
  static constexpr int kExecutors = 20;
  static constexpr int kFailing = 4;
  static constexpr std::int64_t kStepMs = 20;
  static constexpr std::int64_t kJobGapMs = 60;
  static constexpr std::int64_t kWorkMs = 600;
  static constexpr std::int64_t kFailMs = 60;
  static constexpr std::int64_t kLengthMs = 12'000;
  // The executors fail from here on.
  static constexpr std::int64_t kFailFromMs = 2'000;

  failing_executors_play() : fixture({{.name = "q", .max_attempts = 2}}) {
    for (int i = 0; i < kExecutors; ++i) {
      fixture.AddExecutor("e" + std::to_string(i), 16'000);
    }
    for (std::int64_t now = kStepMs; now <= kLengthMs; now += kStepMs) {
      if (now % kJobGapMs == 0) {
        fixture.Core().Submit(JobOf("job-" + std::to_string(jobs++), 8, 1000),
                              At(now));
      }
      for (int i = 0; i < kExecutors; ++i) Report(i, now);
      for (const fleet::start_order& start : fixture.StepAccepted(now).starts) {
        running[start.executor].push_back({.order = start, .since = now});
      }
    }
    for (int i = 0; i < jobs; ++i) {
      const auto state = fixture.Core().StoredState("job-" + std::to_string(i));
      if (state == schema::FLEET_FAILED) ++failed;
    }
  }

  struct run {
    fleet::start_order order;
    std::int64_t since = 0;
  };

  void Report(int index, std::int64_t now) {
    const std::string id = "e" + std::to_string(index);
    const bool fails = index < kFailing && now >= kFailFromMs;
    std::vector<fleet::ended_report> ended;
    std::vector<fleet::running_report> rows;
    for (const run& one : running[id]) {
      if (now - one.since >= (fails ? kFailMs : kWorkMs)) {
        ended.push_back(
            {.number = ++end_numbers[id],
             .task = one.order.task,
             .run = one.order.run,
             .how = fails ? fleet::run_end::kFailed : fleet::run_end::kDone});
        failed_runs += fails ? 1 : 0;
      } else {
        rows.push_back(
            {.task = one.order.task, .run = one.order.run, .percent = 50});
      }
    }
    std::erase_if(running[id], [&](const run& one) {
      return now - one.since >= (fails ? kFailMs : kWorkMs);
    });
    fixture.Report(id, now, std::move(rows), std::move(ended));
  }

  fleet_fixture fixture;
  std::map<std::string, std::vector<run>> running;
  std::map<std::string, std::uint64_t> end_numbers;
  int jobs = 0;
  int failed = 0;
  int failed_runs = 0;
};

TEST_CASE("jobs survive executors that fail all they start",
          "[fleet][health]") {
  const failing_executors_play play;
  CHECK(play.failed == 0);
  // Each with the tasks of one job at first, and then single ones.
  CHECK(play.failed_runs <= failing_executors_play::kFailing * (8 + 6));
}

// An executor on which runs of two jobs have just failed, beside a healthy one
// without room.
struct suspect_scene {
  suspect_scene() {
    fixture.AddExecutor("a", 8000);
    fixture.AddExecutor("full", 500);
    fixture.Core().Submit(JobOf("first", 1, 1000), At(0));
    fixture.Core().Submit(JobOf("other", 1, 1000), At(0));
    const fleet::orders decided = fixture.StepAccepted(10);
    for (const fleet::start_order& each : decided.starts) Fail(each);
    Report(100);
  }

  void Fail(const fleet::start_order& each) {
    End(each, fleet::run_end::kFailed);
  }
  void End(const fleet::start_order& each, fleet::run_end how) {
    ended.push_back(
        {.number = ++ends, .task = each.task, .run = each.run, .how = how});
  }
  // Reports the ends.
  void Report(std::int64_t at_ms) {
    fixture.Report("a", at_ms, {}, std::exchange(ended, {}));
  }

  fleet_fixture fixture;
  std::vector<fleet::ended_report> ended;
  std::uint64_t ends = 0;
};

TEST_CASE("a task that has failed waits until no executor is suspect",
          "[fleet][health]") {
  suspect_scene scene;
  CHECK(scene.fixture.Step(110).starts.empty());
  CHECK(scene.fixture.Step(4900).starts.empty());
  CHECK(scene.fixture.Step(5200).starts.size() == 2);
}

TEST_CASE("a suspect executor gets one task at a time", "[fleet][health]") {
  suspect_scene scene;
  scene.fixture.Core().Submit(JobOf("second", 4, 1000), At(200));
  CHECK(scene.fixture.StepAccepted(210).starts.empty());
  // After the pause.
  const fleet::orders probe = scene.fixture.StepAccepted(1200);
  REQUIRE(probe.starts.size() == 1);
  CHECK(scene.fixture.StepAccepted(1400).starts.empty());
  scene.End(probe.starts[0], fleet::run_end::kDone);
  scene.Report(1900);
  // The failed tasks of the two jobs, too.
  CHECK(scene.fixture.StepAccepted(1910).starts.size() == 5);
}

TEST_CASE("executors are used alike if most of them are suspect",
          "[fleet][health]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", 8000);
  fixture.Core().Submit(JobOf("first", 1, 1000), At(0));
  const fleet::orders first = fixture.StepAccepted(10);
  fixture.Report("a", 100, {},
                 {{.number = 1,
                   .task = first.starts.at(0).task,
                   .run = 1,
                   .how = fleet::run_end::kFailed}});
  fixture.Core().FindExecutor("a")->health.OnFailure("other", false,
                                                     At(100).now);
  fixture.Core().Submit(JobOf("second", 4, 1000), At(200));
  CHECK(fixture.StepAccepted(210).starts.size() == 5);
}

// Guards against long-running tasks of a lost executor that stand still while
// the only executor with room is avoided after failures of short tasks.
TEST_CASE("an interrupted long-running task runs on a suspect executor",
          "[fleet][health]") {
  // Longer than any lease on a clock that is 2 % slow.
  constexpr std::int64_t kLapsedMs = 10'250;
  fleet_fixture fixture;
  fixture.AddExecutor("lost", 8000);
  schema::fleet_job lasting = JobOf("lasting", 1, 4000);
  lasting.mutable_steps(0)->set_long_running(true);
  fixture.Core().Submit(lasting, At(0));
  fixture.Step(10);
  REQUIRE(fixture.StepAccepted(1000).starts.size() == 1);
  fixture.Core().RemoveExecutor("lost");
  fixture.Core().Runs().OnHoldFailed("lost", At(1000));
  // Runs of two jobs fail on `suspect` shortly before the lease lapses.
  fixture.AddExecutor("suspect", 8000, kLapsedMs - 200);
  fixture.AddExecutor("full", 500, kLapsedMs - 200);
  fixture.Core().Submit(JobOf("first", 1, 1000), At(kLapsedMs - 200));
  fixture.Core().Submit(JobOf("other", 1, 1000), At(kLapsedMs - 200));
  std::vector<fleet::ended_report> ended;
  for (const fleet::start_order& start :
       fixture.StepAccepted(kLapsedMs - 190).starts) {
    REQUIRE(start.executor == "suspect");
    ended.push_back({.number = ended.size() + 1,
                     .task = start.task,
                     .run = start.run,
                     .how = fleet::run_end::kFailed});
  }
  fixture.Report("suspect", kLapsedMs - 100, {}, std::move(ended));
  fixture.Core().Submit(JobOf("short", 1, 1000), At(kLapsedMs));
  fixture.Core().Tick(At(kLapsedMs));
  const fleet::orders decided = fixture.Step(kLapsedMs);
  REQUIRE(decided.starts.size() == 1);
  CHECK(decided.starts[0].task.job == "lasting");
  CHECK(decided.starts[0].executor == "suspect");
}

}  // namespace
}  // namespace waxwingfront::tests
