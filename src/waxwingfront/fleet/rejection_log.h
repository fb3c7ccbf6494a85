// Log lines about jobs that the leader rejects.
#ifndef WAXWINGFRONT_FLEET_REJECTION_LOG_H_
#define WAXWINGFRONT_FLEET_REJECTION_LOG_H_

#include <string>

#include "waxwingfront/fleet/job_memory.h"
#include "waxwingfront/fleet/standing_admission.h"
#include "waxwingfront/fleet/start_admission.h"
#include "waxwingfront/fleet/work_admission.h"
#include "waxwingfront/logging/event_log.h"

namespace waxwingfront::fleet {

void LogNoRoom(logging::event_log& log, const std::string& job,
               const standing_room& figures);
void LogLinkFull(logging::event_log& log, const std::string& job,
                 const start_refusal& refusal);
void LogMemoryFull(logging::event_log& log, const std::string& job,
                   const memory_refusal& refusal);
// Levels of tasks and the rate are in hundredths.
void LogWorkRefused(logging::event_log& log, const std::string& job,
                    const work_refusal& refusal);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_REJECTION_LOG_H_
