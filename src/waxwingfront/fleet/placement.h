// Chooses an executor for one task.
#ifndef WAXWINGFRONT_FLEET_PLACEMENT_H_
#define WAXWINGFRONT_FLEET_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

// Cost of running `task` on an executor with room for it; less is better. The
// unit is the share of the executor's processors that is in use or spoilt.
// Infinite: the task should rather wait.
using placement_cost = std::function<double(
    const executor_state&, const task_state&, core::monotonic_time now)>;

// A value that changes whenever costs for the task's step may have become
// finite on executors that did not change; nothing if they may at any time.
using placement_epoch = std::function<std::optional<std::uint64_t>(
    const task_state&, core::monotonic_time now)>;

// Whether the executor has the room, the label and, under the step's limit, a
// place for the task.
bool Fits(const executor_state& executor, const task_state& task);

// Why a task has no place: of the executors of its service, how many are
// excluded by each reason, the first that holds counting.
struct placement_rejections {
  int unusable = 0;
  // Its room is kept for another job.
  int reserved = 0;
  int no_capacity = 0;
  // The label or the step's limit for each executor.
  int not_permitted = 0;
  // The task should rather wait.
  int too_costly = 0;
};

placement_rejections CountRefusals(const fleet_state& state,
                                   const task_state& task,
                                   std::string_view service,
                                   core::monotonic_time now,
                                   const placement_cost& cost);

// Keeps an executor for the task on which it will fit once what ends by itself
// has ended, so that new short tasks do not take the room again and again.
void KeepRoom(fleet_state& state, const task_state& task,
              std::string_view service, core::monotonic_time now);

// Whether the executor is one of `service`, is usable and fits.
bool MayHost(const executor_state& executor, const task_state& task,
             std::string_view service, core::monotonic_time now);

// Added to the cost of an executor on which the task has just failed: more than
// any load.
inline constexpr double kFailedHereCost = 100.0;

// The cheapest usable executor of `service` that fits; null if none does. An
// executor on which the task failed is taken only if there is no other.
executor_state* ChooseExecutor(fleet_state& state, const task_state& task,
                               std::string_view service,
                               core::monotonic_time now,
                               const placement_cost& cost);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_PLACEMENT_H_
