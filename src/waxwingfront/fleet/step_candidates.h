// Candidate executors for a step's tasks in one planning round.
#ifndef WAXWINGFRONT_FLEET_STEP_CANDIDATES_H_
#define WAXWINGFRONT_FLEET_STEP_CANDIDATES_H_

#include <cstddef>
#include <vector>

#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

// True if all waiting tasks of the step have the same cost on an executor.
bool HaveSameCost(const step_state& step);

// All tasks of a step have the same cost on an executor, so one search covers
// them all: after a placement only the selected executor is evaluated again.
class step_candidates {
 public:
  void Clear() { candidates_.clear(); }
  // Must be called in the order of the executors' names: among candidates of
  // equal cost the first is selected.
  void Add(executor_state& executor, double cost) {
    candidates_.push_back({.executor = &executor, .cost = cost});
  }

  // Selects and returns the cheapest candidate for the task; null if there is
  // none.
  executor_state* SelectCheapest(const task_state& task);
  // True if there are only candidates of `kLastResortCost` and more.
  bool AreLastResort() const;
  // Updates the cost of the last selected candidate; removes it if the cost is
  // infinite.
  void UpdateSelected(double cost);

 private:
  struct candidate {
    executor_state* executor;
    double cost;
  };
  std::vector<candidate> candidates_;
  std::size_t selected_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STEP_CANDIDATES_H_
