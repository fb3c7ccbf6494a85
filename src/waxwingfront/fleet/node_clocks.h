// Clocks of the machine that a process runs on.
#ifndef WAXWINGFRONT_FLEET_NODE_CLOCKS_H_
#define WAXWINGFRONT_FLEET_NODE_CLOCKS_H_

#include <cstdint>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"

namespace waxwingfront::fleet {

// Returns the time since the machine started, including suspensions.
std::int64_t BootTimeMs();

// Returns for how long the machine has been suspended since it started.
core::milliseconds SuspendedTime();

moment ReadClocks();

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_NODE_CLOCKS_H_
