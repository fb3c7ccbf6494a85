// How selective a best-effort task's placement is, by the time it has waited,
// and the pace at which it then works. Intended for services whose executors
// all serve, so that no budget bears the task at a good pace: it should not
// wait without end.
#ifndef WAXWINGFRONT_FLEET_BEST_EFFORT_WAIT_H_
#define WAXWINGFRONT_FLEET_BEST_EFFORT_WAIT_H_

#include <cstdint>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

// Lowest cost of an executor whose budgets do not allow the pace that a task
// should have; higher than any cost of other executors.
inline constexpr double kLastResortCost = 1000.0;

enum class best_effort_stage {
  kSelective,
  // Tasks of the step run, so that it does not stand still.
  kAnyBudget,
  // Nothing of the step runs.
  kAnyExecutor,
};
// Number of the values above.
inline constexpr std::uint64_t kBestEffortStages = 3;

best_effort_stage BestEffortStageOf(const task_state& task,
                                    core::monotonic_time now);

// Returns the minimum share of its full pace that the budgets of an executor
// must allow for the task.
double MinPaceOf(const task_state& task, core::monotonic_time now);

// Returns the cost of the share of its full pace at which a best-effort task
// would work, see `placement_cost`.
double SlowPaceCost(double pace);

// True if no other task of its step is active.
bool IsOnlyOneOfStep(const task_state& task);

// Returns the pace in percent that is ordered for a running task of whose full
// pace the budgets allow the given share.
int PacePercent(const task_state& task, double share);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_BEST_EFFORT_WAIT_H_
