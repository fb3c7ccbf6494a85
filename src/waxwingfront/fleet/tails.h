// Latency tails of serving tasks against their targets.
#ifndef WAXWINGFRONT_FLEET_TAILS_H_
#define WAXWINGFRONT_FLEET_TAILS_H_

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

bool Serves(const task_state& task);

// Whether the executor's last report has the task's tail.
bool HasTail(const task_state& task);

// The tail as a multiple of the target.
double TailShare(const task_state& task);

// Whether a serving task has been above its target for too long.
bool LongHarmed(const executor_state& executor, core::monotonic_time now);

// Widens or narrows the margin below the targets by what is harmed.
void AdjustMargin(executor_state& executor, core::monotonic_time now);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_TAILS_H_
