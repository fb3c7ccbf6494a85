// Finds the interrupted tasks for which executors have capacity reserved.
#ifndef WAXWINGFRONT_FLEET_RESERVED_PLACEMENT_H_
#define WAXWINGFRONT_FLEET_RESERVED_PLACEMENT_H_

#include <functional>
#include <span>

#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/interrupted_tasks.h"

namespace waxwingfront::fleet {

enum class reserved_outcome {
  kPlaced,
  kNotPlaced,
  // Placed, and no further task is to be placed.
  kStop,
};

// Calls `try_place` for each executor with capacity reserved for a step, and
// the step's interrupted task that has waited longest; if that one is not
// placed, again for one that has failed before. Ends when `try_place` returns
// `kStop`. A placed task is not offered again. Leaves out an executor on which
// the task has just failed, gangs, and tasks that need a permit for their
// executor.
void ForEachReserved(
    fleet_state& state, std::span<const interrupted_task> interrupted,
    moment at,
    const std::function<reserved_outcome(task_state&, executor_state&)>&
        try_place);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_RESERVED_PLACEMENT_H_
