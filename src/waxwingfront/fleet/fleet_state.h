// All that the leader knows: manifest, jobs, executors, and orders to send.
#ifndef WAXWINGFRONT_FLEET_FLEET_STATE_H_
#define WAXWINGFRONT_FLEET_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/fleet/store_queue.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

// One moment on both clocks.
struct moment {
  core::monotonic_time now;
  std::int64_t unix_ms = 0;
};

struct fleet_state {
  manifest current_manifest;
  std::unordered_map<std::string, std::unique_ptr<job_state>> jobs;
  // Ordered, so that decisions repeat.
  std::map<std::string, executor_state, std::less<>> executors;
  // Jobs that may have tasks to place, in no order.
  std::vector<job_state*> live;
  store_queue store_backlog;
  orders outgoing;
  // All changes of executors' entries until then are known; nothing where no
  // entries are followed.
  std::optional<core::monotonic_time> entries_as_of;

  const queue_spec* FindQueue(std::string_view name) const;
  job_state* FindJob(const std::string& id);
  executor_state* FindExecutor(std::string_view id);
  task_state* FindTask(const task_ref& ref);

  // The service that runs the job's tasks: its queue's, or the one recorded at
  // acceptance once the queue is gone.
  std::string_view ServiceOf(const job_state& job) const;

  // Whether an adviser tells which executors may run the job's tasks.
  bool IsAdvised(const job_state& job) const;

  // Notes that `job` differs from its records. What callers wait for is stored
  // at once whatever `urgency` says.
  void MarkChanged(job_state& job, store_urgency urgency = store_urgency::kEnd);

  // Marks the task's run as over, without a verdict on the task.
  void Release(task_state& task, core::monotonic_time now);

  // Lets the executor forget ends that are stored.
  void AcknowledgeEnds(executor_state& executor);
  // The same for executors whose ends have waited for `job` to be stored.
  void AcknowledgeEndsAwaiting(job_state& job);

  // Stops whatever runs of `job`.
  void StopAll(job_state& job, core::monotonic_time now);
  // Asks for a stop of the task's run; releases it if nothing was sent yet.
  void Stop(task_state& task, core::monotonic_time now);
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_STATE_H_
