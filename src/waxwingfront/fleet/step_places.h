// Where a step's tasks may go in one round of planning.
#ifndef WAXWINGFRONT_FLEET_STEP_PLACES_H_
#define WAXWINGFRONT_FLEET_STEP_PLACES_H_

#include <cstddef>
#include <vector>

#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

// Tasks of a step cost the same on an executor, so one survey serves them all:
// after a placement only the executor that was taken is looked at again.
class step_places {
 public:
  void Clear() { places_.clear(); }
  // To be called in the order of the executors' names: of places that cost the
  // same the first is taken.
  void Add(executor_state& executor, double cost) {
    places_.push_back({.executor = &executor, .cost = cost});
  }

  // Turns to the cheapest place for the task; null if there is none.
  executor_state* Take(const task_state& task);
  // Sets the cost of the place that was turned to last, infinite if it is gone.
  void Renew(double cost);

 private:
  struct place {
    executor_state* executor;
    double cost;
  };
  std::vector<place> places_;
  std::size_t taken_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STEP_PLACES_H_
