// Short work of the live jobs, as `work_admission` counts it.
#ifndef WAXWINGFRONT_FLEET_WORK_LOAD_H_
#define WAXWINGFRONT_FLEET_WORK_LOAD_H_

#include <optional>

#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/work_admission.h"

namespace waxwingfront::fleet {

enum class work_scope { kBestEffort, kAllShort };

// Counts the tasks of the live jobs in the scope whose steps are ready.
work_sample SampleWork(const fleet_state& state, work_scope scope,
                       core::monotonic_time now);

// Returns the job's kind; nothing if it has a long-running step.
std::optional<work_kind> KindOf(const schema::fleet_job& job);

// Records a short task that has been completed.
void CountDone(work_admission& admission, const task_state& task,
               core::monotonic_time now);

// Returns why a new job is rejected; nothing if it is accepted, which all other
// jobs are. Takes a new sample if the last one is too old.
std::optional<work_refusal> AdmitWork(work_admission& admission,
                                      const fleet_state& state,
                                      const schema::fleet_job& job, moment at);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_WORK_LOAD_H_
