// Until when an order may take effect at its executor: reckoned from what the
// leader surely knows, so that an order that waits in queues dies on its own.
#ifndef WAXWINGFRONT_FLEET_ORDER_DEADLINES_H_
#define WAXWINGFRONT_FLEET_ORDER_DEADLINES_H_

#include <cstdint>
#include <optional>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"

namespace waxwingfront::fleet {

struct order_deadline_options {
  // How far a hold's deadline lies ahead of its sending: longer than a
  // take-over and the store outages that running work is to survive, below the
  // executors' longest hold.
  core::milliseconds hold_reach{7000};
  // Nothing may start on an executor this long after it was noted as draining.
  core::milliseconds drain_bound{2000};
};

class order_deadlines {
 public:
  order_deadlines(fleet_state& state, order_deadline_options options)
      : state_(state), options_(options) {}

  // Deadline of a hold that is sent now, on the executor's clock; nothing if
  // its lease is to be left as it is.
  std::optional<std::int64_t> ForHold(executor_state& executor,
                                      core::monotonic_time now) const;

  // Deadline of a start that is sent now; nothing if it must not be sent: its
  // task has been given up, or its executor may have begun to drain.
  std::optional<std::int64_t> ForStart(const start_order& order,
                                       core::monotonic_time now) const;

  // Whether the executors' entries are known well enough to place work.
  bool MayPlace(core::monotonic_time now) const;

 private:
  // Time in which a start that is sent now may be carried out.
  core::milliseconds StartReach(core::monotonic_time now) const;

  fleet_state& state_;
  order_deadline_options options_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_ORDER_DEADLINES_H_
