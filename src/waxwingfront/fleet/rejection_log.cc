#include "waxwingfront/fleet/rejection_log.h"

#include <cstdint>

namespace waxwingfront::fleet {

void LogNoRoom(logging::event_log& log, const std::string& job,
               const standing_room& figures) {
  log.Write("job_without_room",
            {{"job", job},
             {"room", static_cast<std::int64_t>(figures.room)},
             {"demand", static_cast<std::int64_t>(figures.demand)},
             {"displaced", static_cast<std::int64_t>(figures.displaced)}});
}

void LogLinkFull(logging::event_log& log, const std::string& job,
                 const start_refusal& refusal) {
  constexpr double kMsPerSecond = 1000.0;
  log.Write("job_without_link",
            {{"job", job},
             {"wait_ms", refusal.wait.count()},
             {"max_wait_ms", refusal.max_wait.count()},
             {"bytes_ahead", static_cast<std::int64_t>(refusal.bytes_ahead)},
             {"bytes", static_cast<std::int64_t>(refusal.bytes)},
             {"bytes_per_s",
              static_cast<std::int64_t>(refusal.bytes_per_ms * kMsPerSecond)},
             {"retry_after_ms", refusal.retry_after.count()}});
}

}  // namespace waxwingfront::fleet
