#include "waxwingfront/fleet/choice_log.h"

namespace waxwingfront::fleet {

void LogClaim(logging::event_log& log, const leader_choice& choice,
              std::int64_t strength, core::milliseconds delay) {
  log.Write("leader_claims",
            {{"delay_ms", delay.count()},
             {"strength", strength},
             {"strongest", choice.StrongestKnown()}},
            logging::line_priority::kUrgent);
}

void LogSearch(logging::event_log& log, const leader_choice& choice,
               std::size_t members) {
  if (!choice.IsWeak()) return;
  const core::monotonic_time now = core::Now();
  const status_counts counts = choice.CountStatuses(now);
  log.Write("successor_missing",
            {{"members", static_cast<std::int64_t>(members)},
             {"answered", counts.recent},
             {"ready", counts.ready},
             {"strongest_ready", choice.StrongestReady(now)}},
            logging::line_priority::kUrgent);
}

}  // namespace waxwingfront::fleet
