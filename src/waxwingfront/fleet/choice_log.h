// Writes why a process claims leadership, or keeps it, to the event log.
#ifndef WAXWINGFRONT_FLEET_CHOICE_LOG_H_
#define WAXWINGFRONT_FLEET_CHOICE_LOG_H_

#include <cstddef>
#include <cstdint>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/leader_choice.h"
#include "waxwingfront/logging/event_log.h"

namespace waxwingfront::fleet {

// Logs the claim of this process, of the given strength, after `delay`.
void LogClaim(logging::event_log& log, const leader_choice& choice,
              std::int64_t strength, core::milliseconds delay);

// Logs why a weak leader has not handed over to any of the `members` that it
// has asked. Does nothing if the leader is not weak.
void LogSearch(logging::event_log& log, const leader_choice& choice,
               std::size_t members);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_CHOICE_LOG_H_
