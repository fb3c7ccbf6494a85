// Health of an executor, judged by how the runs on it end.
//
// An executor that fails all it starts frees its capacity at once, so it
// attracts more tasks than any other and can use up all attempts of a job
// within a second. After failures of two jobs it therefore gets one task at a
// time until runs succeed, and none that has failed before. A single failure is
// usually the job's own fault.
#ifndef WAXWINGFRONT_FLEET_EXECUTOR_HEALTH_H_
#define WAXWINGFRONT_FLEET_EXECUTOR_HEALTH_H_

#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct executor_health_options {
  // How long a failure counts if no run ends after it.
  core::milliseconds suspicion_time{5000};
  // How long after its placement a run that succeeds shows that the executor
  // works.
  core::milliseconds proven_time{5000};
  // Consecutive failures, each of another job than the one before, from which
  // the executor is suspect and avoided.
  int failures_before_suspicion = 2;
  // How long it is avoided at first; doubles with each further failure.
  core::milliseconds avoid_time{1000};
  core::milliseconds max_avoid_time{4000};
};

class executor_health {
 public:
  explicit executor_health(executor_health_options options = {})
      : options_(options) {}

  // Records the success of a run that was placed at `placed`. It says nothing
  // about failures since then, and makes up for one earlier failure.
  void OnSuccess(core::monotonic_time placed);
  // Records a run of `job` that failed. Returns how long the executor is to be
  // avoided; 0 if it need not be. Repeated failures of one job count once, and
  // so do those of a task that has failed elsewhere: a job that can never
  // succeed fails everywhere.
  core::milliseconds OnFailure(std::string_view job, bool has_failed_elsewhere,
                               core::monotonic_time now);

  // True if runs of several jobs failed recently and none has succeeded since.
  bool IsSuspect(core::monotonic_time now) const {
    return failures_ >= options_.failures_before_suspicion &&
           now - last_failure_ < options_.suspicion_time;
  }
  // True if a run failed recently and none has succeeded since.
  bool HasRecentFailure(core::monotonic_time now) const {
    return failures_ > 0 && now - last_failure_ < options_.suspicion_time;
  }
  core::monotonic_time LastFailure() const { return last_failure_; }
  // True if a run that was placed recently has succeeded, and no later one has
  // failed.
  bool IsProven(core::monotonic_time now) const {
    return failures_ == 0 && now - last_success_placed_ < options_.proven_time;
  }

 private:
  executor_health_options options_;
  // Failures that no success has made up for.
  int failures_ = 0;
  core::monotonic_time last_success_placed_{};
  core::monotonic_time last_failure_{};
  std::string last_failed_job_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_EXECUTOR_HEALTH_H_
