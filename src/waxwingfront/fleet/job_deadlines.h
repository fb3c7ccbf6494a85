// Deadlines of jobs and the order in which jobs of one priority get capacity.
// Under overload, jobs that can still meet their deadline go before those that
// cannot, so that a shortage makes few jobs late instead of all.
#ifndef WAXWINGFRONT_FLEET_JOB_DEADLINES_H_
#define WAXWINGFRONT_FLEET_JOB_DEADLINES_H_

#include <cstddef>
#include <cstdint>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

// A job's deadlines, computed from the estimates of its steps.
struct job_deadlines {
  // The job is on time until `due`, late until `latest_useful_end`, and useless
  // afterwards.
  core::monotonic_time due;
  core::monotonic_time latest_useful_end;
  // Remaining work on the longest chain of steps.
  core::milliseconds remaining_critical_path{0};
};

enum class deadline_feasibility { kOnTime, kLate, kInfeasible };
// Number of the values above.
inline constexpr std::size_t kFeasibilityLevels = 3;

// `queue` is null if the queue no longer exists: such a job's deadline is its
// critical path, without slack.
job_deadlines ComputeDeadlines(const job_state& job, std::uint32_t occurrence,
                               const queue_spec* queue);

deadline_feasibility FeasibilityOf(const job_deadlines& deadlines,
                                   core::monotonic_time now);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_JOB_DEADLINES_H_
