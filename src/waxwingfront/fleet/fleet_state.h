// The leader's state: manifest, jobs, executors, and pending orders.
#ifndef WAXWINGFRONT_FLEET_FLEET_STATE_H_
#define WAXWINGFRONT_FLEET_FLEET_STATE_H_

#include <cstddef>
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
#include "waxwingfront/fleet/start_queue.h"
#include "waxwingfront/fleet/stop_times.h"
#include "waxwingfront/fleet/store_queue.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

// One point in time on the monotonic and the Unix clock.
struct moment {
  core::monotonic_time now;
  std::int64_t unix_ms = 0;
};

struct fleet_state {
  manifest current_manifest;
  std::unordered_map<std::string, std::unique_ptr<job_state>> jobs;
  // Ordered, so that decisions are deterministic.
  std::map<std::string, executor_state, std::less<>> executors;
  // Jobs that may have tasks to place or to stop, unordered.
  std::vector<job_state*> live;
  // Sum of `RecordCost` over all jobs, in bytes.
  std::size_t record_cost = 0;
  store_queue store_backlog;
  start_queue starts;
  stop_times stops{stop_time_options{}};
  // All other orders.
  orders outgoing;
  // All changes of executor entries until this time are known; empty if
  // entries are not watched.
  std::optional<core::monotonic_time> entries_as_of;

  const queue_spec* FindQueue(std::string_view name) const;
  // Returns the job's queue in the manifest, or as it was at acceptance if the
  // manifest has no such queue or is not known yet. Null if neither is known.
  const queue_spec* QueueOf(const job_state& job) const;
  job_state* FindJob(const std::string& id);
  executor_state* FindExecutor(std::string_view id);
  task_state* FindTask(const task_ref& ref);

  // Adds a job without changes to store.
  job_state& AddJob(std::unique_ptr<job_state> job);
  // Frees a job without active tasks. Does nothing if there is no such job.
  void RemoveJob(const std::string& id);

  // Returns the service that runs the job's tasks.
  std::string_view ServiceOf(const job_state& job) const;

  // True if the first step of a live job is long-running and has a waiting
  // task.
  bool AnyServingTaskWaits() const;

  // True if an adviser decides which executors may run the job's tasks.
  bool IsAdvised(const job_state& job) const;

  // Queues the changed `job` for storing. Changes that callers wait for are
  // stored immediately, regardless of `urgency`.
  void MarkChanged(job_state& job, store_urgency urgency = store_urgency::kEnd);

  // Ends the task's run without deciding the task's outcome.
  void Release(task_state& task, core::monotonic_time now);

  // Adds an end whose effect is in the job's present version, which has to be
  // stored before the end is acknowledged. The end of a job that is not known
  // has no effect.
  void AddEnd(executor_state& executor, std::uint64_t number,
              const std::string& job_id);
  // Acknowledges stored ends, so that the executor may forget them.
  void AcknowledgeEnds(executor_state& executor);
  // The same for executors whose ends were waiting for `job` to be stored.
  void AcknowledgeEndsAwaiting(job_state& job);

  // Stops all active tasks of `job`.
  void StopAll(job_state& job, core::monotonic_time now);
  // Requests a stop of the task's run; releases the task if its start was not
  // sent yet.
  void Stop(task_state& task, core::monotonic_time now);
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_STATE_H_
