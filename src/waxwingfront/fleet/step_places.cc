#include "waxwingfront/fleet/step_places.h"

#include <cmath>

#include "waxwingfront/fleet/placement.h"

namespace waxwingfront::fleet {

executor_state* step_places::Take(const task_state& task) {
  executor_state* best = nullptr;
  double least = 0.0;
  for (std::size_t i = 0; i < places_.size(); ++i) {
    const auto& [executor, cost] = places_[i];
    const bool failed_here =
        !task.failed_on.empty() && task.failed_on == executor->info.id;
    const double here = failed_here ? cost + kFailedHereCost : cost;
    if (best != nullptr && here >= least) continue;
    best = executor;
    least = here;
    taken_ = i;
  }
  return best;
}

void step_places::Renew(double cost) {
  if (std::isinf(cost)) {
    places_.erase(places_.begin() + static_cast<std::ptrdiff_t>(taken_));
  } else {
    places_[taken_].cost = cost;
  }
}

}  // namespace waxwingfront::fleet
