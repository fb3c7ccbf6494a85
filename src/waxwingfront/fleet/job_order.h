// The order in which jobs of one priority get room. Answers overload: jobs that
// can still be in time go before those that cannot, so that a shortage makes
// few jobs late instead of all.
#ifndef WAXWINGFRONT_FLEET_JOB_ORDER_H_
#define WAXWINGFRONT_FLEET_JOB_ORDER_H_

#include <cstddef>
#include <cstdint>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

// A job's time as its steps' estimates tell.
struct job_outlook {
  // In time until then, late until `last_use`, of no use after it.
  core::monotonic_time due;
  core::monotonic_time last_use;
  // Work left on the longest chain of steps.
  core::milliseconds chain_left{0};
};

enum class job_hope { kInTime, kLate, kNone };
// Number of the hopes above.
inline constexpr std::size_t kJobHopes = 3;

// `queue` may be null for a queue that is gone: such jobs are due at once.
job_outlook Outlook(const job_state& job, std::uint32_t occurrence,
                    const queue_spec* queue);

job_hope HopeOf(const job_outlook& outlook, core::monotonic_time now);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_JOB_ORDER_H_
