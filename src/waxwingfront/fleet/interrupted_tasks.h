// Finds long-running tasks that need, or will soon need, a run on another
// executor.
#ifndef WAXWINGFRONT_FLEET_INTERRUPTED_TASKS_H_
#define WAXWINGFRONT_FLEET_INTERRUPTED_TASKS_H_

#include <chrono>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/lease_expiry.h"

namespace waxwingfront::fleet {

// A long-running task that has run before.
struct interrupted_task {
  task_state* task = nullptr;
  // When its next run may be placed: already if it waits, else once the lease
  // of its silent executor has lapsed or its present run could have been
  // stopped.
  core::monotonic_time restartable_at;
  // It runs on a draining executor, which stays for this long at least, rounded
  // down.
  bool leaving = false;
  std::chrono::seconds stays{0};

  friend bool operator==(const interrupted_task&,
                         const interrupted_task&) = default;
};

// Returns the interrupted tasks whose next run may be placed before `until`, in
// an order that depends on the state only. A task on an executor that is in
// contact counts only if that drains.
std::vector<interrupted_task> FindInterruptedTasks(
    const fleet_state& state, const lease_expiry_options& options,
    core::monotonic_time now, core::monotonic_time until);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_INTERRUPTED_TASKS_H_
