// Finds executors whose runs count as over without a report from the executor.
#ifndef WAXWINGFRONT_FLEET_LEASE_EXPIRY_H_
#define WAXWINGFRONT_FLEET_LEASE_EXPIRY_H_

#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"

namespace waxwingfront::fleet {

struct lease_expiry_options {
  // An executor that is registered is alive and reports how its runs ended once
  // it is reached. Its runs count as over only after it has been silent for
  // this long and this many holds have failed. The time is three times the
  // usual duration of a lease.
  core::milliseconds min_silence{21'000};
  int min_unanswered_holds{10};
};

// Returns when the runs on an executor that is not in contact count as over if
// it stays silent and its entry does not change.
core::monotonic_time RunsOverIfSilent(const executor_state& executor,
                                      const lease_expiry_options& options);

// Returns the executors whose leases have surely lapsed and that cannot be
// queried: they are no longer registered, or they are silent while this leader
// reaches at least half of the registered executors.
std::vector<executor_state*> ExpiredExecutors(
    fleet_state& state, const lease_expiry_options& options,
    core::monotonic_time now);

// Returns how long leases may last that were given, before the response to a
// hold sent at `sent`, by earlier leaders or to an earlier incarnation.
core::milliseconds LongestEarlierLease(const executor_state& executor,
                                       core::milliseconds longest_hold,
                                       core::monotonic_time sent);

// Returns when the executor was last heard of, or the earliest such time if an
// earlier leader reached it last.
core::monotonic_time SilentSince(const executor_state& executor,
                                 core::milliseconds longest_hold);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEASE_EXPIRY_H_
