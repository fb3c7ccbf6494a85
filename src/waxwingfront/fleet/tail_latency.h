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

// True if the tail latency may not be below the target. Executors report it in
// whole milliseconds.
bool AtOrAboveTarget(const task_state& task);

// Best-effort work increases only while tail latencies are below this share of
// their target.
inline constexpr double kMaxIncreaseRatio = 0.8;

// Stops all best-effort tasks on the executor, regardless of the model, once a
// serving task has not been below its target for too long. They stay stopped
// until all of its tail latencies are below `kMaxIncreaseRatio`, or below their
// targets for a few seconds.
void UpdateBestEffortStop(executor_state& executor, core::monotonic_time now);

// Adjusts the margin below the targets by the share of serving tasks that are
// not below their target.
void AdjustMargin(executor_state& executor, core::monotonic_time now);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_TAIL_LATENCY_H_
