#include "waxwingfront/fleet/placement.h"

#include <algorithm>
#include <cmath>

namespace waxwingfront::fleet {
namespace {

// How long room is kept without the task asking again: some rounds of planning.
constexpr core::milliseconds kKeepTime{500};
// One executor in this many is kept at most: short tasks live on the same gaps.
constexpr std::size_t kExecutorsPerKept = 30;

bool UnderStepLimit(const executor_state& executor, const task_state& task) {
  const std::uint32_t limit = task.Spec().max_per_executor();
  if (limit == 0) return true;
  const auto here =
      std::ranges::count_if(executor.active, [&task](const task_state* other) {
        return other->job == task.job && other->occurrence == task.occurrence &&
               other->step == task.step;
      });
  return here < static_cast<std::ptrdiff_t>(limit);
}

// Whether the executor has the label and, under the step's limit, a place.
bool Permitted(const executor_state& executor, const task_state& task) {
  const std::string& label = task.Spec().required_label();
  return (label.empty() || executor.HasLabel(label)) &&
         UnderStepLimit(executor, task);
}

}  // namespace

bool Fits(const executor_state& executor, const task_state& task) {
  return executor.Free().Holds(task.Needs()) && Permitted(executor, task);
}

placement_rejections CountRefusals(const fleet_state& state,
                                   const task_state& task,
                                   std::string_view service,
                                   core::monotonic_time now,
                                   const placement_cost& cost) {
  placement_rejections refusals;
  for (const auto& [id, executor] : state.executors) {
    if (executor.info.service != service) continue;
    if (!executor.Usable(now)) {
      ++refusals.unusable;
    } else if (executor.KeptFromJob(task.job, now)) {
      ++refusals.reserved;
    } else if (!executor.Free().Holds(task.Needs())) {
      ++refusals.no_capacity;
    } else if (!Fits(executor, task)) {
      ++refusals.not_permitted;
    } else if (std::isinf(cost(executor, task, now))) {
      ++refusals.too_costly;
    }
  }
  return refusals;
}

void KeepRoom(fleet_state& state, const task_state& task,
              std::string_view service, core::monotonic_time now) {
  executor_state* best = nullptr;
  std::size_t kept_for_others = 0;
  const core::resources needs = task.Needs();
  for (auto& [id, executor] : state.executors) {
    if (executor.KeptFromJob(task.job, now)) {
      ++kept_for_others;
      continue;
    }
    if (!executor.FreeLater().Holds(needs) || !executor.Usable(now) ||
        executor.info.service != service || !Permitted(executor, task)) {
      continue;
    }
    // One that is kept already stays the choice; else the one that lacks least.
    const bool kept =
        executor.kept_for == task.job && now < executor.kept_until;
    if (best == nullptr || kept ||
        executor.Free().processor_milli > best->Free().processor_milli) {
      best = &executor;
    }
    if (kept) break;
  }
  if (best == nullptr ||
      kept_for_others * kExecutorsPerKept >= state.executors.size()) {
    return;
  }
  best->kept_for = task.job;
  best->kept_until = now + kKeepTime;
}

bool MayHost(const executor_state& executor, const task_state& task,
             std::string_view service, core::monotonic_time now) {
  // What excludes most comes first.
  return executor.Free().Holds(task.Needs()) && executor.Usable(now) &&
         !executor.KeptFromJob(task.job, now) &&
         executor.info.service == service && Permitted(executor, task);
}

executor_state* ChooseExecutor(fleet_state& state, const task_state& task,
                               std::string_view service,
                               core::monotonic_time now,
                               const placement_cost& cost) {
  executor_state* best = nullptr;
  double least = 0.0;
  for (auto& [id, executor] : state.executors) {
    if (!MayHost(executor, task, service, now)) continue;
    double here = cost(executor, task, now);
    if (std::isinf(here)) continue;
    if (task.failed_on == id) here += kFailedHereCost;
    if (best == nullptr || here < least) {
      best = &executor;
      least = here;
    }
  }
  return best;
}

}  // namespace waxwingfront::fleet
