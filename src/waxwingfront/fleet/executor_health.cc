#include "waxwingfront/fleet/executor_health.h"

#include <algorithm>

namespace waxwingfront::fleet {

void executor_health::OnSuccess(core::monotonic_time placed) {
  last_success_placed_ = std::max(last_success_placed_, placed);
  if (failures_ == 0 || placed < last_failure_) return;
  --failures_;
  last_failed_job_.clear();
}

core::milliseconds executor_health::OnFailure(std::string_view job,
                                              bool has_failed_elsewhere,
                                              core::monotonic_time now) {
  if (now - last_failure_ >= options_.suspicion_time) failures_ = 0;
  if (has_failed_elsewhere && failures_ == 0) return core::milliseconds(0);
  last_failure_ = now;
  if (failures_ > 0 && last_failed_job_ == job) return core::milliseconds(0);
  last_failed_job_ = job;
  ++failures_;
  if (failures_ < options_.failures_before_suspicion) {
    return core::milliseconds(0);
  }
  core::milliseconds avoid = options_.avoid_time;
  for (int i = options_.failures_before_suspicion;
       i < failures_ && avoid < options_.max_avoid_time; ++i) {
    avoid *= 2;
  }
  return std::min(avoid, options_.max_avoid_time);
}

}  // namespace waxwingfront::fleet
