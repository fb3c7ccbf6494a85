// Selects an executor for one task.
#ifndef WAXWINGFRONT_FLEET_PLACEMENT_H_
#define WAXWINGFRONT_FLEET_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

// Returns the cost of running `task` on an executor with enough free capacity;
// lower is better. The unit is the share of the executor's processors that is
// in use or unusable. Infinite if the task should wait instead.
using placement_cost = std::function<double(
    const executor_state&, const task_state&, core::monotonic_time now)>;

// Serving tasks wait this long for others submitted at the same time, so that
// similar ones are placed together; short compared with their lifetime.
inline constexpr core::milliseconds kBatchingWindow{300};

// Longest wait of a task for a better placement while nothing of its job runs.
// The platform considers a job lost that stands still for 3 s beside idle
// executors.
inline constexpr core::milliseconds kMaxIdleWait{2000};

// Returns a value that changes whenever costs for the task's step may have
// become finite on unchanged executors; nothing if that may happen any time.
using placement_epoch = std::function<std::optional<std::uint64_t>(
    const task_state&, core::monotonic_time now)>;

// True if the executor has the label for the task and is below the step's limit
// per executor, with `planned` further tasks of the step.
bool Permits(const executor_state& executor, const task_state& task,
             std::ptrdiff_t planned = 0);

// True if the executor has the free capacity and the label for the task and is
// below the step's limit per executor.
bool Fits(const executor_state& executor, const task_state& task);

// Why a task has no feasible placement: the number of executors of its service
// that are excluded for each reason. An executor counts for the first reason
// that applies.
struct placement_rejections {
  int unusable = 0;
  // Those of `unusable` that would have room without their short tasks.
  int unusable_with_room = 0;
  // Its free capacity is reserved for another job or step.
  int reserved = 0;
  int no_capacity = 0;
  // Those of `no_capacity` that would have room without their short tasks.
  int filled_by_short_tasks = 0;
  // The label is missing or the step's limit per executor is reached.
  int not_permitted = 0;
  // The cost is infinite: the task should wait instead.
  int too_costly = 0;
};

placement_rejections CountRejections(const fleet_state& state,
                                     const task_state& task,
                                     std::string_view service,
                                     core::monotonic_time now,
                                     const placement_cost& cost);

// Reserves an executor on which the task will fit once all tasks that are not
// long-running have ended, so that new short tasks do not keep using up its
// capacity.
void ReserveCapacity(fleet_state& state, const task_state& task,
                     std::string_view service, core::monotonic_time now);

// Sets `peers_are_healthy` of all executors.
void ComparePeers(fleet_state& state, core::monotonic_time now);

// Returns for each service and each kind of resource the most that is free on
// one available executor. A task that needs more has no feasible placement.
std::map<std::string_view, core::resources> MostFreeOfServices(
    const fleet_state& state, core::monotonic_time now);

// True if the executor belongs to `service`, is usable and fits the task.
bool MayHost(const executor_state& executor, const task_state& task,
             std::string_view service, core::monotonic_time now);

// Returns the cost of the risk that the task fails on the executor.
double HealthCost(const executor_state& executor, const task_state& task,
                  core::monotonic_time now);

// Added to the cost of an executor on which the task has just failed; higher
// than any load cost.
inline constexpr double kFailedHereCost = 100.0;

// Returns the cheapest usable executor of `service` that fits, or null if none
// does. An executor on which the task failed is selected only if there is no
// other.
executor_state* ChooseExecutor(fleet_state& state, const task_state& task,
                               std::string_view service,
                               core::monotonic_time now,
                               const placement_cost& cost);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_PLACEMENT_H_
