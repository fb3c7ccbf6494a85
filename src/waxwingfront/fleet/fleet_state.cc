#include "waxwingfront/fleet/fleet_state.h"

#include <algorithm>
#include <utility>

#include "waxwingfront/fleet/job_cost.h"

namespace waxwingfront::fleet {

const queue_spec* fleet_state::FindQueue(std::string_view name) const {
  const auto found =
      std::ranges::find(current_manifest.queues, name, &queue_spec::name);
  return found == current_manifest.queues.end() ? nullptr : &*found;
}

const queue_spec* fleet_state::QueueOf(const job_state& job) const {
  const queue_spec* const present = FindQueue(job.Spec().queue());
  return present == nullptr ? job.QueueAtAcceptance() : present;
}

job_state* fleet_state::FindJob(const std::string& id) {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : found->second.get();
}

executor_state* fleet_state::FindExecutor(std::string_view id) {
  const auto found = executors.find(id);
  return found == executors.end() ? nullptr : &found->second;
}

task_state* fleet_state::FindTask(const task_ref& ref) {
  job_state* const job = FindJob(ref.job);
  return job == nullptr ? nullptr : job->Find(ref);
}

job_state& fleet_state::AddJob(std::unique_ptr<job_state> job) {
  job_state& added = *job;
  if (!added.Final() || added.AnyActive()) live.push_back(&added);
  record_cost += RecordCost(added.Spec());
  jobs[added.Id()] = std::move(job);
  return added;
}

void fleet_state::RemoveJob(const std::string& id) {
  job_state* const job = FindJob(id);
  if (job == nullptr) return;
  std::erase(live, job);
  record_cost -= RecordCost(job->Spec());
  store_backlog.Remove(*job);
  for (auto& [name, executor] : executors) {
    if (executor.reserved_for == job) executor.reserved_for = nullptr;
  }
  jobs.erase(id);
}

std::string_view fleet_state::ServiceOf(const job_state& job) const {
  const queue_spec* const queue = QueueOf(job);
  return queue == nullptr ? std::string_view(job.Spec().service())
                          : std::string_view(queue->service);
}

bool fleet_state::AnyServingTaskWaits() const {
  return std::ranges::any_of(live, [](const job_state* job) {
    return !job->Final() && job->WaitingLongRunning() > 0 &&
           job->Spec().steps(0).long_running() &&
           job->Occurrences().begin()->second.steps.front().waiting > 0;
  });
}

bool fleet_state::IsAdvised(const job_state& job) const {
  const queue_spec* const queue = QueueOf(job);
  return job.needs_permits || (queue != nullptr && queue->advised);
}

void fleet_state::MarkChanged(job_state& job, store_urgency urgency) {
  ++job.version;
  const bool accepted = job.job_revision == 0 && !job.in_flight_urgency;
  if (job.FinalStatePending() || (accepted && job.planning_attempted)) {
    urgency = store_urgency::kImmediate;
  } else if (accepted) {
    urgency = store_urgency::kAfterPlanning;
  }
  store_backlog.Add(job, urgency);
}

void fleet_state::Release(task_state& task, core::monotonic_time now) {
  executor_state* const executor = FindExecutor(task.executor);
  if (executor != nullptr) executor->Remove(task);
  starts.Withdraw(task);
  task.SetPhase(task_phase::kWaiting);
  task.waiting_since = now;
  if (task.HasBegun()) task.interrupted_since = now;
  task.stop_confirmed = false;
  task.stop_ordered_at = {};
  task.percent = 0;
  task.pace_percent = kFullPace;
}

void fleet_state::AddEnd(executor_state& executor, std::uint64_t number,
                         const std::string& job_id) {
  // An earlier report, or the end of another gang member, may have ended the
  // run in a version that is not stored yet.
  const job_state* const job = FindJob(job_id);
  executor.pending_ends.push_back(
      {.number = number, .job = job_id, .version = job ? job->version : 0});
}

void fleet_state::AcknowledgeEnds(executor_state& executor) {
  while (!executor.pending_ends.empty()) {
    const executor_state::pending_end& end = executor.pending_ends.front();
    job_state* const job = FindJob(end.job);
    if (job != nullptr && job->stored_version < end.version) {
      if (executor.awaited_job == end.job) return;
      executor.awaited_job = end.job;
      job->executors_awaiting_ack.push_back(executor.info.id);
      return;
    }
    executor.acknowledged = end.number;
    executor.pending_ends.pop_front();
  }
  executor.awaited_job.clear();
}

void fleet_state::AcknowledgeEndsAwaiting(job_state& job) {
  for (const std::string& id : std::exchange(job.executors_awaiting_ack, {})) {
    executor_state* const executor = FindExecutor(id);
    if (executor == nullptr) continue;
    executor->awaited_job.clear();
    AcknowledgeEnds(*executor);
  }
}

void fleet_state::StopAll(job_state& job, core::monotonic_time now) {
  job.ForEachTask([this, now](task_state& task) {
    if (task.Active()) Stop(task, now);
  });
}

void fleet_state::Stop(task_state& task, core::monotonic_time now) {
  if (task.Phase() == task_phase::kPlaced) {
    Release(task, now);
    return;
  }
  if (task.Phase() != task_phase::kStopping) {
    const bool running = task.Phase() == task_phase::kRunning;
    task.stop_ordered_at = running ? now : core::monotonic_time{};
    task.SetPhase(task_phase::kStopping);
    task.stop_confirmed = false;
  }
  task.stop_sent_at = now;
  outgoing.stops.push_back(
      {.executor = task.executor, .task = task.Ref(), .run = task.run});
}

}  // namespace waxwingfront::fleet
