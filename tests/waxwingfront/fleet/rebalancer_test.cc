#include "waxwingfront/fleet/rebalancer.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr int kTarget = 99;

std::string ExecutorName(int index) {
  return (index < 10 ? "e0" : "e") + std::to_string(index);
}

// Executors with one slow best-effort task each, and a target for all of them.
class slow_fleet {
 public:
  explicit slow_fleet(int executors) {
    state_.current_manifest = ManifestOf({{}});
    for (int i = 0; i < executors; ++i) {
      AddExecutor(ExecutorName(i));
      AddTask(ExecutorName(i));
    }
    AddExecutor(ExecutorName(kTarget));
    rebalancer_.on_move = [this](const fleet::task_state& task, fleet::moment) {
      moved.insert(task.job->Id());
    };
  }

  // Runs the rebalancer; the tasks that it stops run again, as slowly as
  // before.
  void Run(std::int64_t at_ms) {
    rebalancer_.Run(At(at_ms));
    for (const auto& job : jobs_) {
      job->ForEachTask([](fleet::task_state& task) { Start(task); });
    }
  }

  // Jobs whose task has been moved.
  std::set<std::string> moved;

 private:
  void AddExecutor(const std::string& id) {
    fleet::executor_state& executor = state_.executors[id];
    executor.info = {.id = id,
                     .service = "s",
                     .capacity = {.processor_milli = 8000, .memory_mib = 1000}};
    executor.registered = true;
    executor.reached = true;
    executor.in_contact = true;
  }

  void AddTask(const std::string& executor) {
    schema::fleet_job job = JobOf("on " + executor, 1, 1000);
    job.mutable_steps(0)->set_fills(true);
    jobs_.push_back(std::make_unique<fleet::job_state>(job, At(0).now));
    jobs_.back()->ForEachTask([this, &executor](fleet::task_state& task) {
      task.executor = executor;
      state_.FindExecutor(executor)->Add(task);
      Start(task);
    });
  }

  static void Start(fleet::task_state& task) {
    task.SetPhase(fleet::task_phase::kRunning);
    task.confirmed = At(0).now;
    task.pace_percent = 0;
  }

  fleet::fleet_state state_;
  fleet::rebalancer rebalancer_{
      state_,
      {},
      [](const fleet::executor_state& executor, const fleet::task_state&,
         core::monotonic_time) {
        return executor.info.id == ExecutorName(kTarget) ? 0.0 : 1.0;
      }};
  std::vector<std::unique_ptr<fleet::job_state>> jobs_;
};

TEST_CASE("slow tasks of the first executors do not keep others from moving",
          "[fleet]") {
  const fleet::rebalancer_options options;
  const int executors = 3 * options.max_moves;
  slow_fleet fleet(executors);
  std::int64_t at_ms = 10'000;
  for (int run = 0; run < 3; ++run) {
    fleet.Run(at_ms);
    at_ms += options.period.count();
  }
  CHECK(fleet.moved.size() == static_cast<std::size_t>(executors));
}

}  // namespace
}  // namespace waxwingfront::tests
