// Placement cost by distance from a task's data and from the rest of its step.
// Intended for loads whose tasks slow down by a known factor away from their
// data's rack, or when their step is spread over racks.
#ifndef WAXWINGFRONT_FLEET_LOCALITY_H_
#define WAXWINGFRONT_FLEET_LOCALITY_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

class locality {
 public:
  // `remote_factor`: factor by which a task's duration grows away from its
  // data.
  explicit locality(double remote_factor) : remote_factor_(remote_factor) {}

  // Returns the cost that the executor's rack adds for the task, in shares of
  // an executor; infinite while the task should wait for a closer executor.
  double Cost(const executor_state& executor, const task_state& task,
              core::monotonic_time now) const;

  // True if the task has waited long enough for its preferred placement, or if
  // nothing of its job runs and the wait would let the job stand still.
  bool WaitIsOver(const task_state& task, core::monotonic_time now) const;

  // Determines which racks have executors that may get tasks.
  void SetRacks(
      const std::map<std::string, executor_state, std::less<>>& executors);

 private:
  // Returns how long a task should wait for a placement on the preferred rack.
  // Waiting that long costs less than the time that the distance adds.
  core::milliseconds MaxWait(const schema::fleet_step& step) const;

  double remote_factor_;
  std::set<std::string, std::less<>> racks_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LOCALITY_H_
