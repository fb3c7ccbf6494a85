#include "waxwingfront/fleet/locality.h"

#include <chrono>
#include <limits>

namespace waxwingfront::fleet {
namespace {

// Part of the added time that is waited for a close place. A place may not come
// in time, and then waiting comes on top.
constexpr double kPatienceShare = 0.5;
// Cost of one more task length: as much as a whole executor's processors.
constexpr double kRemoteCost = 1.0;

}  // namespace

core::milliseconds locality::Patience(const schema::fleet_step& step) const {
  const core::milliseconds estimate(step.estimated_ms());
  return std::chrono::duration_cast<core::milliseconds>(
      estimate * (remote_factor_ - 1.0) * kPatienceShare);
}

double locality::Cost(const executor_state& executor, const task_state& task,
                      core::monotonic_time now) const {
  const schema::fleet_step& step = task.Spec();
  if (step.data_rack().empty() || executor.info.rack == step.data_rack() ||
      remote_factor_ <= 1.0) {
    return 0.0;
  }
  if (now - task.waiting_since < Patience(step)) {
    return std::numeric_limits<double>::infinity();
  }
  return kRemoteCost * (remote_factor_ - 1.0);
}

}  // namespace waxwingfront::fleet
