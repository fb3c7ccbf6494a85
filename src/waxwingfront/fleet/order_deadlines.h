// Deadlines until which an order may take effect at its executor. They are
// derived from what the leader knows for certain, so that an order that is
// delayed in queues expires by itself.
#ifndef WAXWINGFRONT_FLEET_ORDER_DEADLINES_H_
#define WAXWINGFRONT_FLEET_ORDER_DEADLINES_H_

#include <cstdint>
#include <optional>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/lease_ledger.h"

namespace waxwingfront::fleet {

struct order_deadline_options {
  // Time from sending a hold to its deadline: longer than a leader change plus
  // the store outages that running work has to survive, and shorter than the
  // executors' longest hold.
  core::milliseconds hold_lease{7000};
  // Nothing may start on an executor this long after it was recorded as
  // draining.
  core::milliseconds drain_bound{2000};
};

class order_deadlines {
 public:
  order_deadlines(fleet_state& state, const lease_ledger& leases,
                  order_deadline_options options)
      : state_(state), leases_(leases), options_(options) {}

  // Returns the deadline of a hold sent now, on the executor's clock; nothing
  // if the hold must not change the executor's lease.
  std::optional<std::int64_t> ForHold(executor_state& executor,
                                      core::monotonic_time now) const;

  // Returns the deadline of a start sent now; nothing if it must not be sent
  // because its task no longer needs it or its executor may have begun to
  // drain or been replaced by another incarnation.
  std::optional<std::int64_t> ForStart(const start_order& order,
                                       core::monotonic_time now) const;

  // True if the start is still current and its executor may get it now, see
  // `ForStart`.
  bool MayStart(const start_order& order, core::monotonic_time now) const;
  // True if the start only waits for its executor to respond to a hold. Any
  // hold in flight will respond or fail.
  bool AwaitsHold(const start_order& order, core::monotonic_time now) const;

  // True if the executors' entries are recent enough to place work, and starts
  // may give leases.
  bool MayPlace(core::monotonic_time now) const;

 private:
  // Returns the executor of a start that its task still needs, or null.
  executor_state* ExecutorOf(const start_order& order) const;
  // Returns the time within which a start sent now may take effect.
  core::milliseconds StartValidity(core::monotonic_time now) const;
  // Returns by how much an order sent now may extend the executor's leases, on
  // the executor's clock.
  core::milliseconds LongestLease(const executor_state& executor,
                                  core::monotonic_time now) const;

  fleet_state& state_;
  const lease_ledger& leases_;
  order_deadline_options options_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_ORDER_DEADLINES_H_
