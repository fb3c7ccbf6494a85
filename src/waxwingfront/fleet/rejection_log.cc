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

void LogMemoryFull(logging::event_log& log, const std::string& job,
                   const memory_refusal& refusal) {
  log.Write("job_without_memory",
            {{"job", job},
             {"needed_bytes", static_cast<std::int64_t>(refusal.needed)},
             {"committed_bytes", static_cast<std::int64_t>(refusal.committed)},
             {"limit_bytes", static_cast<std::int64_t>(refusal.limit)},
             {"retry_after_ms", refusal.retry_after.count()}});
}

void LogWorkRefused(logging::event_log& log, const std::string& job,
                    const work_refusal& refusal) {
  constexpr double kPercent = 100.0;
  const auto percent = [](double tasks) {
    return static_cast<std::int64_t>(tasks * kPercent);
  };
  log.Write("work_refused",
            {{"job", job},
             {"queue", refusal.kind.queue},
             {"image", refusal.kind.image},
             {"jobs", static_cast<std::int64_t>(refusal.level.jobs)},
             {"working_percent", percent(refusal.level.working)},
             {"standing_percent", percent(refusal.level.standing)},
             {"accepted_percent", percent(refusal.accepted_tasks)},
             {"queue_working_percent", percent(refusal.queue_level.working)},
             {"queue_standing_percent", percent(refusal.queue_level.standing)},
             {"done_percent", percent(refusal.rate)},
             {"retry_after_ms", refusal.retry_after.count()}});
}

}  // namespace waxwingfront::fleet
