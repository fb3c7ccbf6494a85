#include "waxwingfront/fleet/locality.h"

#include <chrono>
#include <limits>

#include "waxwingfront/fleet/placement.h"

namespace waxwingfront::fleet {
namespace {

// Share of the added time that a task waits for a close executor. If none gets
// free in that time, the wait comes on top of the added time.
constexpr double kMaxWaitShare = 0.5;
// Cost of one additional task duration: a whole executor's processors.
constexpr double kRemoteCost = 1.0;

}  // namespace

core::milliseconds locality::MaxWait(const schema::fleet_step& step) const {
  const core::milliseconds estimate(step.estimated_ms());
  return std::chrono::duration_cast<core::milliseconds>(
      estimate * (remote_factor_ - 1.0) * kMaxWaitShare);
}

bool locality::WaitIsOver(const task_state& task,
                          core::monotonic_time now) const {
  const auto waited = now - task.waiting_since;
  return waited >= MaxWait(task.Spec()) ||
         (waited >= kMaxIdleWait && !task.job->AnyActive());
}

void locality::SetRacks(
    const std::map<std::string, executor_state, std::less<>>& executors) {
  racks_.clear();
  for (const auto& [id, executor] : executors) {
    if (executor.registered && !executor.info.draining) {
      racks_.insert(executor.info.rack);
    }
  }
}

double locality::Cost(const executor_state& executor, const task_state& task,
                      core::monotonic_time now) const {
  const schema::fleet_step& step = task.Spec();
  if (step.data_rack().empty() || executor.info.rack == step.data_rack() ||
      remote_factor_ <= 1.0) {
    return 0.0;
  }
  if (racks_.contains(step.data_rack()) && !WaitIsOver(task, now)) {
    return std::numeric_limits<double>::infinity();
  }
  return kRemoteCost * (remote_factor_ - 1.0);
}

}  // namespace waxwingfront::fleet
