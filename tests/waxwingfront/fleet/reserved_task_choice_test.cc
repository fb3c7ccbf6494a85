#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"
#include "waxwingfront/fleet/capacity_reserve.h"
#include "waxwingfront/fleet/placement.h"
#include "waxwingfront/fleet/planning_order.h"
#include "waxwingfront/fleet/reserved_placement.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kNowMs = 10'000;

// Executors with room for a long-running job, whose tasks are interrupted.
class interrupted_job {
 public:
  explicit interrupted_job(std::uint32_t tasks) {
    state_.current_manifest = ManifestOf({{}});
    schema::fleet_job job = JobOf("lasting", tasks, 1000);
    job.mutable_steps(0)->set_long_running(true);
    job_ = &state_.AddJob(std::make_unique<fleet::job_state>(job, At(0).now));
    job_->ForEachTask([](fleet::task_state& task) { task.run = 1; });
  }

  fleet::executor_state& AddExecutor(const std::string& id) {
    fleet::executor_state& executor = state_.executors[id];
    executor.info = {.id = id,
                     .service = "s",
                     .capacity = {.processor_milli = 8000, .memory_mib = 1000}};
    executor.registered = true;
    executor.reached = true;
    executor.in_contact = true;
    return executor;
  }

  // Adds another interrupted job with one task.
  fleet::task_state& AddJob(const std::string& id, std::int64_t cpu_millis) {
    schema::fleet_job spec = JobOf(id, 1, cpu_millis);
    spec.mutable_steps(0)->set_long_running(true);
    fleet::task_state& task =
        *state_.AddJob(std::make_unique<fleet::job_state>(spec, At(0).now))
             .Find({.job = id});
    task.run = 1;
    return task;
  }

  fleet::task_state& Task(std::size_t index) {
    return job_->Occurrences()[0].steps[0].tasks[index];
  }

  // Returns the jobs that a round visits first, in this order.
  std::vector<std::string> Overdue() {
    fleet::planning_queue queue;
    fleet::QueueWaitingJobs(state_, 1, 1, false, At(kNowMs), queue);
    std::vector<std::string> ids;
    for (const fleet::ranked_job& one : queue.overdue) {
      ids.push_back(one.job->Id());
    }
    return ids;
  }

  // Renews the reservations and returns the interrupted tasks.
  auto Reserve() { return reserve_.Update(At(kNowMs).now); }

  // Returns the index of the first task that a reservation is used for.
  std::optional<std::uint32_t> PlaceFirst() {
    std::optional<std::uint32_t> placed;
    const auto try_place = [&placed](const fleet::task_state& task,
                                     const fleet::executor_state& executor) {
      const auto now = At(kNowMs).now;
      if (now - task.waiting_since < fleet::kBatchingWindow ||
          !fleet::MayHost(executor, task, "s", now)) {
        return fleet::reserved_outcome::kNotPlaced;
      }
      placed = task.index;
      return fleet::reserved_outcome::kStop;
    };
    fleet::ForEachReserved(state_, Reserve(), At(kNowMs), try_place);
    return placed;
  }

 private:
  fleet::fleet_state state_;
  fleet::job_state* job_ = nullptr;
  fleet::capacity_reserve reserve_{
      state_,
      [](const fleet::executor_state&, const fleet::task_state&,
         core::monotonic_time) { return 0.0; },
      {}};
};

TEST_CASE("a task that has just ended does not keep others from reserved room",
          "[fleet][overload]") {
  interrupted_job job(2);
  job.AddExecutor("a");
  job.Task(0).waiting_since = At(kNowMs - 50).now;
  CHECK(job.PlaceFirst() == 1);
}

TEST_CASE(
    "a task that avoids unhealthy executors does not keep others from "
    "reserved room",
    "[fleet][overload]") {
  interrupted_job job(3);
  // The first task is placed elsewhere after the reservations were made.
  job.AddExecutor("a").unhealthy_until = At(2 * kNowMs).now;
  job.Task(1).failed_on = "b";
  job.Reserve();
  job.Task(0).SetPhase(fleet::task_phase::kPlaced);
  CHECK(job.PlaceFirst() == 2);
}

TEST_CASE("no capacity is reserved where the task has just failed",
          "[fleet][overload]") {
  interrupted_job job(1);
  const fleet::executor_state& failed = job.AddExecutor("a");
  const fleet::executor_state& other = job.AddExecutor("b");
  job.Task(0).failed_on = "a";
  job.Reserve();
  CHECK(failed.Reservations().empty());
  CHECK(other.Reservations().size() == 1);
}

TEST_CASE("a task that avoids unhealthy executors leaves them to be reserved",
          "[fleet][overload]") {
  interrupted_job job(2);
  fleet::executor_state& unhealthy = job.AddExecutor("a");
  unhealthy.unhealthy_until = At(2 * kNowMs).now;
  job.Task(0).failed_on = "b";
  job.Reserve();
  CHECK(unhealthy.ReservedFor(job.Task(1).spec) > 0);
}

// Guards against a task that stands still for good because larger ones always
// come first.
TEST_CASE("a task that has stood still for long gets room before larger ones",
          "[fleet][overload]") {
  interrupted_job job(1);
  const fleet::executor_state& executor = job.AddExecutor("a");
  constexpr std::int64_t kLargeCpu = 7500;
  fleet::task_state& large = job.AddJob("large", kLargeCpu);
  large.interrupted_since = At(kNowMs - 1000).now;
  job.Task(0).interrupted_since = At(kNowMs - 6000).now;
  job.Reserve();
  REQUIRE(executor.Reservations().size() == 1);
  CHECK(executor.Reservations().front().step == job.Task(0).spec);
}

TEST_CASE(
    "of overdue jobs the one with the longest standstill is visited first",
    "[fleet][overload]") {
  interrupted_job job(1);
  constexpr std::int64_t kLargeCpu = 7500;
  job.AddJob("large", kLargeCpu).interrupted_since = At(kNowMs - 3000).now;
  job.Task(0).interrupted_since = At(kNowMs - 6000).now;
  CHECK(job.Overdue() == std::vector<std::string>{"lasting", "large"});
}

}  // namespace
}  // namespace waxwingfront::tests
