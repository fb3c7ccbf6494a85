#include "waxwingfront/fleet/job_deadlines.h"

#include <algorithm>

namespace waxwingfront::fleet {
namespace {

// A job is late but still useful up to this multiple of its objective, as the
// platform defines.
constexpr int kLateFactor = 3;
// Longest objective, so that deadlines stay within the clock's range.
constexpr core::milliseconds kMaxObjective{366LL * 24 * 60 * 60 * 1000};

}  // namespace

job_deadlines ComputeDeadlines(const job_state& job, std::uint32_t occurrence,
                               const queue_spec* queue) {
  const path_lengths& path = job.CriticalPath(occurrence);
  core::milliseconds objective = path.total;
  if (queue != nullptr) {
    objective = std::chrono::duration_cast<core::milliseconds>(
                    std::min<std::chrono::duration<double, std::milli>>(
                        path.total * queue->stretch, kMaxObjective)) +
                queue->target_duration;
  }
  objective = std::min(objective, kMaxObjective);
  const core::monotonic_time start = job.DueStart(occurrence);
  return {.due = start + objective,
          .latest_useful_end = start + kLateFactor * objective,
          .remaining_critical_path = path.remaining};
}

deadline_feasibility FeasibilityOf(const job_deadlines& deadlines,
                                   core::monotonic_time now) {
  const core::monotonic_time earliest = now + deadlines.remaining_critical_path;
  if (earliest <= deadlines.due) return deadline_feasibility::kOnTime;
  return earliest <= deadlines.latest_useful_end
             ? deadline_feasibility::kLate
             : deadline_feasibility::kInfeasible;
}

}  // namespace waxwingfront::fleet
