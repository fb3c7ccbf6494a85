// Tells what the capacity of executors is committed to, to explain why a task
// waits.
#ifndef WAXWINGFRONT_FLEET_EXECUTOR_ROOM_H_
#define WAXWINGFRONT_FLEET_EXECUTOR_ROOM_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/resources.h"
#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/fleet_state.h"

namespace waxwingfront::fleet {

// How one executor's capacity is committed.
struct executor_room {
  const executor_state* executor = nullptr;
  // It may get tasks: it is not draining, silent or avoided for a while.
  bool available = false;
  core::resources free;
  // Long-running tasks that have begun and go on.
  core::resources long_running;
  // Long-running tasks that are placed or being started.
  core::resources starting;
  // Long-running tasks that are being stopped, and those whose run is not known
  // to be over.
  core::resources ending;
  core::resources short_tasks;
  core::resources reserved;
};

executor_room RoomOf(const executor_state& executor, core::monotonic_time now);

// Maximum numbers of executors that may get tasks, and that may not.
struct gap_counts {
  std::size_t available = 0;
  std::size_t unavailable = 0;
};

// Returns the executors of `service` on which the task comes closest to fitting
// by what is free, each group with the largest gap first.
std::vector<executor_room> LargestGaps(const fleet_state& state,
                                       const task_state& task,
                                       std::string_view service,
                                       core::monotonic_time now,
                                       const gap_counts& counts);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_EXECUTOR_ROOM_H_
