#include "waxwingfront/fleet/step_candidates.h"

#include <algorithm>
#include <cmath>

#include "waxwingfront/fleet/best_effort_wait.h"
#include "waxwingfront/fleet/placement.h"

namespace waxwingfront::fleet {

bool HaveSameCost(const step_state& step) {
  // Costs of long-running tasks depend on all executors, costs of tasks with a
  // data rack on how long each task has waited, and tasks that have failed are
  // more selective.
  const schema::fleet_step& spec = step.tasks.front().Spec();
  return !spec.long_running() && spec.data_rack().empty() &&
         std::ranges::all_of(step.tasks, [](const task_state& task) {
           return task.Phase() != task_phase::kWaiting || task.failures == 0;
         });
}

executor_state* step_candidates::SelectCheapest(const task_state& task) {
  executor_state* best = nullptr;
  double lowest = 0.0;
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    const auto& [executor, cost] = candidates_[i];
    const bool failed_here =
        !task.failed_on.empty() && task.failed_on == executor->info.id;
    const double here = failed_here ? cost + kFailedHereCost : cost;
    if (best != nullptr && here >= lowest) continue;
    best = executor;
    lowest = here;
    selected_ = i;
  }
  return best;
}

bool step_candidates::AreLastResort() const {
  return !candidates_.empty() &&
         std::ranges::all_of(candidates_, [](const candidate& one) {
           return one.cost >= kLastResortCost;
         });
}

void step_candidates::UpdateSelected(double cost) {
  if (std::isinf(cost)) {
    candidates_.erase(candidates_.begin() +
                      static_cast<std::ptrdiff_t>(selected_));
  } else {
    candidates_[selected_].cost = cost;
  }
}

}  // namespace waxwingfront::fleet
