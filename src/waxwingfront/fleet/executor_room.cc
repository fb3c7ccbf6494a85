#include "waxwingfront/fleet/executor_room.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace waxwingfront::fleet {
namespace {

core::resources& CommitmentOf(executor_room& room, const task_state& task) {
  if (!task.Spec().long_running()) return room.short_tasks;
  switch (task.Phase()) {
    case task_phase::kPlaced:
    case task_phase::kStarting:
      return room.starting;
    case task_phase::kRunning:
      return room.long_running;
    default:
      return room.ending;
  }
}

// Returns the smallest share of the needs, over all kinds, that is free.
double FreeShareOfNeeds(const core::resources& free,
                        const core::resources& needs) {
  double share = std::numeric_limits<double>::max();
  const auto consider = [&share](std::int64_t available, std::int64_t need) {
    if (need <= 0) return;
    share = std::min(
        share, static_cast<double>(available) / static_cast<double>(need));
  };
  consider(free.processor_milli, needs.processor_milli);
  consider(free.memory_mib, needs.memory_mib);
  consider(free.accelerators, needs.accelerators);
  return share;
}

}  // namespace

executor_room RoomOf(const executor_state& executor, core::monotonic_time now) {
  executor_room room{.executor = &executor,
                     .available = executor.Available(now),
                     .free = executor.Free(),
                     .reserved = executor.Reserved()};
  for (const task_state* const task : executor.active) {
    CommitmentOf(room, *task) += task->Needs();
  }
  return room;
}

std::vector<executor_room> LargestGaps(const fleet_state& state,
                                       const task_state& task,
                                       std::string_view service,
                                       core::monotonic_time now,
                                       const gap_counts& counts) {
  const core::resources needs = task.Needs();
  std::vector<std::pair<double, const executor_state*>> usable;
  std::vector<std::pair<double, const executor_state*>> others;
  for (const auto& [id, executor] : state.executors) {
    if (executor.info.service != service) continue;
    (executor.Available(now) ? usable : others)
        .emplace_back(FreeShareOfNeeds(executor.Free(), needs), &executor);
  }
  std::vector<executor_room> rooms;
  const auto add_largest = [&rooms, now](auto& group, std::size_t count) {
    std::ranges::stable_sort(group, [](const auto& left, const auto& right) {
      return left.first > right.first;
    });
    for (std::size_t i = 0; i < std::min(count, group.size()); ++i) {
      rooms.push_back(RoomOf(*group[i].second, now));
    }
  };
  add_largest(usable, counts.available);
  add_largest(others, counts.unavailable);
  return rooms;
}

}  // namespace waxwingfront::fleet
