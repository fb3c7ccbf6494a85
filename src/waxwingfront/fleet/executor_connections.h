// Share of an executor's connections that one leader may use.
#ifndef WAXWINGFRONT_FLEET_EXECUTOR_CONNECTIONS_H_
#define WAXWINGFRONT_FLEET_EXECUTOR_CONNECTIONS_H_

#include <cstddef>
#include <optional>

#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

// Returns how many connections the leader may open to one executor of any
// service, at least 2: one for holds and one for orders. A leader whose machine
// is lost closes none of its connections, which the executor then keeps until
// it ends, so that each leader may use only a share of what the executor
// accepts.
std::size_t ConnectionsPerExecutor(const std::optional<manifest>& current);

// Returns how many orders the leader may send to one executor at once: one for
// each connection that is not for holds. Nothing if no service states how many
// connections its executors accept.
std::optional<std::size_t> OrdersAtOnce(const manifest& current);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_EXECUTOR_CONNECTIONS_H_
