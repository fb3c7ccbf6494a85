#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCapacity = 32'000;
constexpr std::uint32_t kTasks = 3;
// The platform counts a long-running task as lost if it has not run again 9 s
// after its last run.
constexpr std::int64_t kMaxStandstillMs = 9'000;

// The runs of a long-running job have failed at time 0, and the leader is
// overloaded: each round of planning has time for one job, and more new jobs
// arrive than that.
class overloaded_leader {
 public:
  overloaded_leader(const std::string& lasting_queue, std::string new_queue)
      : fixture_({{.name = "urgent", .priority = 0},
                  {.name = "later", .priority = 2}}),
        new_queue_(std::move(new_queue)) {
    fixture_.AddExecutor("a", kCapacity, kStartMs);
    schema::fleet_job lasting = JobOf("lasting", kTasks, 1000, lasting_queue);
    lasting.mutable_steps(0)->set_long_running(true);
    fixture_.Core().Submit(lasting, At(kStartMs));
    fixture_.Step(kStartMs);
    std::vector<fleet::ended_report> ended;
    for (const fleet::start_order& start : fixture_.StepAccepted(0).starts) {
      ended.push_back({.number = ended.size() + 1,
                       .task = start.task,
                       .run = start.run,
                       .how = fleet::run_end::kFailed});
    }
    REQUIRE(ended.size() == kTasks);
    fixture_.Report("a", 0, {}, std::move(ended));
  }

  // Returns when all tasks of the job have started again. The first
  // `held_back` starts are not sent, as orders that have become too old.
  std::int64_t PlayUntilRestarted(std::size_t held_back = 0) {
    std::int64_t now = 0;
    std::size_t restarted = 0;
    while (restarted < kTasks && now < kLengthMs) {
      now += kRoundMs;
      SubmitNew(now);
      for (const fleet::start_order& start : PlanOneJob(now)) {
        if (held_back > 0) {
          --held_back;
          fixture_.Core().OnStartResponse(start, fleet::start_outcome::kNotSent,
                                          At(now));
        } else {
          ++restarted;
        }
      }
    }
    return now;
  }

 private:
  static constexpr std::int64_t kStartMs = -1000;
  static constexpr std::int64_t kRoundMs = 50;
  static constexpr std::int64_t kLengthMs = 30'000;
  static constexpr int kNewJobs = 2;

  void SubmitNew(std::int64_t now) {
    for (int i = 0; i < kNewJobs; ++i) {
      const std::string id = "new" + std::to_string(now + i);
      // No executor is large enough.
      fixture_.Core().Submit(JobOf(id, 1, 2 * kCapacity, new_queue_), At(now));
    }
  }

  // Returns the starts of the long-running job.
  std::vector<fleet::start_order> PlanOneJob(std::int64_t now) {
    fixture_.Report("a", now, {});
    fixture_.Core().Plan(At(now), [] { return true; });
    fixture_.Store(now);
    std::vector<fleet::start_order> starts =
        fixture_.Core().TakeOrders(At(now)).starts;
    std::erase_if(starts, [](const fleet::start_order& start) {
      return start.task.job != "lasting";
    });
    return starts;
  }

  fleet_fixture fixture_;
  std::string new_queue_;
};

// Guards against a sweep over the waiting jobs that new jobs keep extending, so
// that a task which was visited in it is not planned again.
TEST_CASE("new jobs do not starve an interrupted long-running task",
          "[fleet][overload]") {
  overloaded_leader leader("urgent", "later");
  CHECK(leader.PlayUntilRestarted() < kMaxStandstillMs);
}

// Guards against a task that is never the most urgent one to visit.
TEST_CASE("more urgent new jobs do not starve an interrupted long-running task",
          "[fleet][overload]") {
  overloaded_leader leader("later", "urgent");
  CHECK(leader.PlayUntilRestarted() < kMaxStandstillMs);
}

// Guards against a wait that begins anew with each start that is not sent.
TEST_CASE("starts that are held back do not starve an interrupted task",
          "[fleet][overload]") {
  // Four of each task.
  constexpr std::size_t kHeldBack = 12;
  overloaded_leader leader("urgent", "later");
  CHECK(leader.PlayUntilRestarted(kHeldBack) < kMaxStandstillMs);
}

// Guards against a job that newer and more urgent ones keep from being visited.
TEST_CASE("new jobs do not starve the later steps of a job",
          "[fleet][overload]") {
  constexpr int kRounds = 400;
  constexpr std::int64_t kRoundMs = 50;
  fleet_fixture fixture(
      {{.name = "urgent", .priority = 0}, {.name = "later", .priority = 2}});
  fixture.AddExecutor("a", kCapacity);
  schema::fleet_job job = JobOf("job", 1, 1000, "later");
  *job.add_steps() = job.steps(0);
  job.mutable_steps(1)->add_after(0);
  fixture.Core().Submit(job, At(0));
  const fleet::orders first = fixture.StepAccepted(0);
  REQUIRE(first.starts.size() == 1);
  bool started = false;
  for (int round = 1; round <= kRounds && !started; ++round) {
    const std::int64_t now = round * kRoundMs;
    for (const char* const queue : {"urgent", "later"}) {
      const std::string id = queue + std::to_string(round);
      fixture.Core().Submit(JobOf(id, 1, 2 * kCapacity, queue), At(now));
    }
    std::vector<fleet::ended_report> ended;
    if (round == 1) {
      ended.push_back({.number = 1,
                       .task = first.starts[0].task,
                       .run = 1,
                       .how = fleet::run_end::kDone});
    }
    fixture.Report("a", now, {}, std::move(ended));
    fixture.Core().Plan(At(now), [] { return true; });
    fixture.Store(now);
    started = !fixture.Core().TakeOrders(At(now)).starts.empty();
  }
  CHECK(started);
}

// Guards against tasks without room that use up every round.
TEST_CASE("overdue tasks without room do not starve new jobs",
          "[fleet][overload]") {
  constexpr int kOverdue = 20;
  constexpr int kNewJobs = 40;
  constexpr std::int64_t kRoundMs = 50;
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity, -1);
  for (int i = 0; i < kOverdue; ++i) {
    schema::fleet_job job =
        JobOf("overdue" + std::to_string(i), 1, 2 * kCapacity);
    job.mutable_steps(0)->set_long_running(true);
    schema::fleet_progress progress;
    progress.set_state(schema::FLEET_RUNNING);
    progress.add_tasks()->set_run(1);
    fixture.Core().Restore(job, 1, progress, 1, At(0));
  }
  std::size_t started = 0;
  // Each round has time for one job, and each second round brings a new one.
  std::int64_t now = kMaxStandstillMs;
  for (int round = 0; round < 2 * kNewJobs; ++round) {
    now += kRoundMs;
    if (round % 2 == 0) {
      fixture.Core().Submit(JobOf("new" + std::to_string(round), 1, 100),
                            At(now));
    }
    fixture.Report("a", now, {});
    fixture.Core().Plan(At(now), [] { return true; });
    fixture.Store(now);
    started += fixture.Core().TakeOrders(At(now)).starts.size();
  }
  CHECK(started == kNewJobs);
}

}  // namespace
}  // namespace waxwingfront::tests
