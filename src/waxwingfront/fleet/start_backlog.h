// Starts that jobs still need, as `start_admission` counts them.
#ifndef WAXWINGFRONT_FLEET_START_BACKLOG_H_
#define WAXWINGFRONT_FLEET_START_BACKLOG_H_

#include <optional>
#include <vector>

#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/start_admission.h"

namespace waxwingfront::fleet {

// Returns the starts of short tasks that accepted jobs need, without those of
// useless jobs and of steps that wait for room of the executors.
std::vector<pending_starts> StartBacklog(const fleet_state& state, moment at);

// Returns the rank of the task's job.
start_rank RankOf(const fleet_state& state, const task_state& task,
                  core::monotonic_time now);

// Returns the first starts of a new job of `queue`; nothing if it is
// long-running or not due yet.
std::optional<pending_starts> FirstStarts(const schema::fleet_job& job,
                                          const queue_spec& queue, moment at);

// Returns why a new job is rejected; nothing if it is accepted. Samples the
// backlog if a decision needs a new sample.
std::optional<start_refusal> AdmitStarts(start_admission& admission,
                                         const fleet_state& state,
                                         const schema::fleet_job& job,
                                         moment at);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_START_BACKLOG_H_
