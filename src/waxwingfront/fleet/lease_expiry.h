// Which executors' runs are over without the executors' own word.
#ifndef WAXWINGFRONT_FLEET_LEASE_EXPIRY_H_
#define WAXWINGFRONT_FLEET_LEASE_EXPIRY_H_

#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"

namespace waxwingfront::fleet {

struct lease_expiry_options {
  // An executor whose entry stands is alive and tells how its runs ended once
  // it is reached: it is asked for this long, and as often, before its runs
  // count as over. Three times the usual reach of a lease.
  core::milliseconds silence{21'000};
  int unanswered{10};
};

// Executors whose leases have surely lapsed and that cannot be asked: they have
// left, or are silent to a leader that reaches half of the others.
std::vector<executor_state*> ExpiredExecutors(
    fleet_state& state, const lease_expiry_options& options,
    core::monotonic_time now);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEASE_EXPIRY_H_
