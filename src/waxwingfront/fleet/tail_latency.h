// Tail latencies of serving tasks relative to their targets.
#ifndef WAXWINGFRONT_FLEET_TAIL_LATENCY_H_
#define WAXWINGFRONT_FLEET_TAIL_LATENCY_H_

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

bool Serves(const task_state& task);

// True if the executor's last report contains the task's tail latency.
bool HasTailLatency(const task_state& task);

// Returns the tail latency as a multiple of the target.
double LatencyRatio(const task_state& task);

// True if a serving task has been above its target for too long.
bool AnyAboveTargetTooLong(const executor_state& executor,
                           core::monotonic_time now);

// Adjusts the margin below the targets by the share of serving tasks above
// their target.
void AdjustMargin(executor_state& executor, core::monotonic_time now);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_TAIL_LATENCY_H_
