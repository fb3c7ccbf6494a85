// Log lines of starts that did not reach their executor or were not confirmed.
#ifndef WAXWINGFRONT_FLEET_START_LOG_H_
#define WAXWINGFRONT_FLEET_START_LOG_H_

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/types.h"
#include "waxwingfront/logging/event_log.h"

namespace waxwingfront::fleet {

void LogHeldBack(logging::event_log& log, const start_order& order,
                 start_outcome outcome, core::monotonic_time now);

void LogNotConfirmed(logging::event_log& log, const start_order& order,
                     start_outcome outcome, core::monotonic_time sent,
                     core::monotonic_time now);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_START_LOG_H_
