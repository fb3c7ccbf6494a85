#include "waxwingfront/fleet/standing_admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCapacity = 32'000;
constexpr std::int64_t kStandingCpu = 6'400;
constexpr std::int64_t kShortCpu = 6'000;

schema::fleet_job StandingJob(const std::string& id, std::uint32_t tasks) {
  schema::fleet_job job = JobOf(id, tasks, kStandingCpu);
  job.mutable_steps(0)->set_long_running(true);
  return job;
}

// Executors on which short jobs arrive at a constant rate while long-running
// ones are submitted again and again, and stay.
struct full_service_play {
  static constexpr int kExecutors = 10;
  static constexpr std::int64_t kStepMs = 20;
  static constexpr std::int64_t kReportMs = 100;
  static constexpr std::int64_t kShortGapMs = 200;
  static constexpr std::int64_t kStandingGapMs = 500;
  static constexpr std::int64_t kWorkMs = 600;
  static constexpr std::int64_t kLengthMs = 20'000;
  static constexpr std::uint32_t kShortTasks = 3;
  static constexpr std::uint32_t kStandingTasks = 4;

  explicit full_service_play(bool applies_admission)
      : applies(applies_admission) {
    for (int i = 0; i < kExecutors; ++i) {
      fixture.AddExecutor(Executor(i), kCapacity);
    }
    for (std::int64_t now = kStepMs; now <= kLengthMs; now += kStepMs) {
      Submit(now);
      EndShortTasks(now);
      if (now % kReportMs == 0) Report(now);
      fixture.Core().Tick(At(now));
      for (const fleet::start_order& start : fixture.StepAccepted(now).starts) {
        running[start.executor].push_back({.order = start, .since = now});
      }
      CountCompleted(now);
    }
  }

  struct run {
    fleet::start_order order;
    std::int64_t since = 0;
  };

  static std::string Executor(int index) { return "e" + std::to_string(index); }
  static bool IsStanding(const fleet::task_ref& task) {
    return task.job.starts_with("standing");
  }

  void Submit(std::int64_t now) {
    if (now % kShortGapMs == 0) {
      const std::string id = "short-" + std::to_string(short_jobs++);
      schema::fleet_job job = JobOf(id, kShortTasks, kShortCpu);
      job.mutable_steps(0)->set_estimated_ms(kWorkMs);
      fixture.Core().Submit(job, At(now));
      submitted[id] = now;
    }
    if (now % kStandingGapMs == 0) {
      const auto job = StandingJob("standing-" + std::to_string(standing_jobs),
                                   kStandingTasks);
      ++standing_jobs;
      if (applies && fixture.Core().MissingRoom(job)) return;
      fixture.Core().Submit(job, At(now));
      ++standing_accepted;
    }
  }

  void EndShortTasks(std::int64_t now) {
    for (auto& [executor, runs] : running) {
      std::erase_if(runs, [&, &id = executor](const run& one) {
        if (IsStanding(one.order.task) || now - one.since < kWorkMs)
          return false;
        ended[id].push_back({.number = ++end_numbers[id],
                             .task = one.order.task,
                             .run = one.order.run,
                             .how = fleet::run_end::kDone});
        return true;
      });
    }
  }

  void Report(std::int64_t now) {
    for (int i = 0; i < kExecutors; ++i) {
      std::vector<fleet::running_report> rows;
      for (const run& one : running[Executor(i)]) {
        rows.push_back(
            {.task = one.order.task, .run = one.order.run, .percent = 100});
      }
      fixture.Report(Executor(i), now, std::move(rows),
                     std::exchange(ended[Executor(i)], {}));
    }
  }

  void CountCompleted(std::int64_t now) {
    std::erase_if(submitted, [&](const auto& entry) {
      if (fixture.Core().StoredState(entry.first) != schema::FLEET_COMPLETED) {
        return false;
      }
      // Stretch and target duration of the queue.
      if (now - entry.second <= 2 * kWorkMs + 1000) ++on_time;
      return true;
    });
  }

  std::size_t StandingTasksRunning() const {
    std::size_t count = 0;
    for (const auto& [executor, runs] : running) {
      count += static_cast<std::size_t>(std::ranges::count_if(
          runs, [](const run& one) { return IsStanding(one.order.task); }));
    }
    return count;
  }

  bool applies;
  fleet_fixture fixture;
  std::map<std::string, std::vector<run>> running;
  std::map<std::string, std::vector<fleet::ended_report>> ended;
  std::map<std::string, std::uint64_t> end_numbers;
  std::map<std::string, std::int64_t> submitted;
  int short_jobs = 0;
  int on_time = 0;
  int standing_jobs = 0;
  int standing_accepted = 0;
};

// Plays long-running jobs that would fill a service. Guards against accepted
// jobs whose tasks never run, and against short jobs that wait until they are
// useless.
TEST_CASE("long-running jobs leave room for the short ones that keep arriving",
          "[fleet][admission]") {
  const full_service_play play(true);
  // All but those of the last moments.
  CHECK(play.on_time >= play.short_jobs * 95 / 100);
  CHECK(play.standing_accepted > 0);
  CHECK(play.StandingTasksRunning() ==
        static_cast<std::size_t>(play.standing_accepted) *
            full_service_play::kStandingTasks);
  // Most of the service is still used by them.
  CHECK(play.StandingTasksRunning() * kStandingCpu >=
        full_service_play::kExecutors * kCapacity / 2);
}

TEST_CASE("without admission the short jobs of the same play are late",
          "[fleet][admission]") {
  const full_service_play play(false);
  CHECK(play.on_time < play.short_jobs * 80 / 100);
}

TEST_CASE("a long-running job is accepted while no short job needs the room",
          "[fleet][admission]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Tick(At(0));
  CHECK_FALSE(fixture.Core().MissingRoom(StandingJob("standing", 5)));
}

TEST_CASE("the demand of short jobs is forgotten after they have ended",
          "[fleet][admission]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Submit(JobOf("short", 4, kShortCpu), At(0));
  const fleet::orders decided = fixture.StepAccepted(10);
  REQUIRE(decided.starts.size() == 4);
  fixture.Core().Tick(At(10));
  const auto missing = fixture.Core().MissingRoom(StandingJob("standing", 2));
  REQUIRE(missing);
  CHECK(missing->room == 5.0);
  CHECK(missing->demand == 4.0);
  CHECK(missing->displaced == Approx(2 * 6.4 / 6.0));
  fixture.Core().Cancel("short", At(20));
  fixture.Report("a", 100, {}, {});
  fixture.Core().Tick(At(10'000));
  fixture.Core().Tick(At(30'000));
  CHECK_FALSE(fixture.Core().MissingRoom(StandingJob("standing", 2)));
}

// Guards against new long-running jobs that take the room which the tasks of a
// lost executor need again.
TEST_CASE("the room of interrupted tasks is not offered to new jobs",
          "[fleet][admission]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Submit(StandingJob("lost", 2), At(0));
  fixture.StepAccepted(10);
  REQUIRE(fixture.StepAccepted(500).starts.size() == 2);
  fixture.AddExecutor("b", kCapacity, 510);
  fixture.Core().Submit(JobOf("short", 2, kShortCpu), At(510));
  REQUIRE(fixture.StepAccepted(520).starts.size() == 2);
  fixture.Core().RemoveExecutor("a");
  fixture.Core().Runs().OnHoldFailed("a", At(530));
  fixture.Core().Tick(At(530));
  // Both tasks leave room for 3 short ones, 2 of which are needed.
  CHECK_FALSE(fixture.Core().MissingRoom(StandingJob("standing", 1)));
  // The lease of `a` lapses at 10.2 s.
  fixture.Report("b", 6'000, {}, {});
  fixture.Step(6'000);
  fixture.Core().Tick(At(6'000));
  CHECK(fixture.Core().MissingRoom(StandingJob("standing", 1)));
}

// Guards against jobs that can never be done and keep long-running ones out.
TEST_CASE("waiting tasks that fit on no executor claim no room",
          "[fleet][admission]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Submit(JobOf("hopeless", 100, 2 * kCapacity), At(0));
  fixture.Step(10);
  fixture.Core().Tick(At(10));
  CHECK_FALSE(fixture.Core().MissingRoom(StandingJob("standing", 1)));
}

TEST_CASE("waiting tasks of useless jobs claim no room", "[fleet][admission]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Submit(StandingJob("first", 5), At(0));
  fixture.StepAccepted(10);
  // Long-running tasks are gathered before they are placed.
  REQUIRE(fixture.StepAccepted(500).starts.size() == 5);
  fixture.Core().Submit(JobOf("waiting", 10, kShortCpu), At(500));
  fixture.StepAccepted(510);
  fixture.Core().Tick(At(510));
  REQUIRE(fixture.Core().MissingRoom(StandingJob("standing", 1)));
  fixture.Core().Tick(At(60'000));
  fixture.Core().Tick(At(120'000));
  CHECK_FALSE(fixture.Core().MissingRoom(StandingJob("standing", 1)));
}

// Guards against ticks that take most of an overloaded leader's time, since a
// sample considers all live jobs.
TEST_CASE("the demand of short jobs is sampled at most twice a second",
          "[fleet][admission]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Tick(At(0));
  fixture.Core().Submit(JobOf("short", 5, kShortCpu), At(10));
  for (std::int64_t now = 100; now < 500; now += 100) {
    fixture.Core().Tick(At(now));
    CHECK_FALSE(fixture.Core().MissingRoom(StandingJob("standing", 1)));
  }
  fixture.Core().Tick(At(500));
  CHECK(fixture.Core().MissingRoom(StandingJob("standing", 1)));
}

TEST_CASE("short and best-effort jobs are never rejected for lack of room",
          "[fleet][admission]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Submit(JobOf("short", 5, kShortCpu), At(0));
  fixture.StepAccepted(10);
  fixture.Core().Tick(At(10));
  schema::fleet_job best_effort = JobOf("fill", 50, kShortCpu);
  best_effort.mutable_steps(0)->set_fills(true);
  CHECK_FALSE(fixture.Core().MissingRoom(best_effort));
  CHECK_FALSE(fixture.Core().MissingRoom(JobOf("next", 50, kShortCpu)));
}

}  // namespace
}  // namespace waxwingfront::tests
