// Weighs executors by their distance to a task's data and to the rest of its
// step. Answers loads whose tasks slow down by a known factor away from their
// data's rack, or when their step is spread over racks.
#ifndef WAXWINGFRONT_FLEET_LOCALITY_H_
#define WAXWINGFRONT_FLEET_LOCALITY_H_

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

class locality {
 public:
  // `remote_factor`: how many times as long a task takes away from its data.
  explicit locality(double remote_factor) : remote_factor_(remote_factor) {}

  // Cost of running the task on the executor because of its rack, in shares of
  // an executor; infinite while the task should rather wait for a closer one.
  double Cost(const executor_state& executor, const task_state& task,
              core::monotonic_time now) const;

  // How long a task should wait for a place on the right rack: waiting costs
  // less than the time that the distance adds.
  core::milliseconds Patience(const schema::fleet_step& step) const;

 private:
  double remote_factor_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LOCALITY_H_
