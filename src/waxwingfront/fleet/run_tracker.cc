#include "waxwingfront/fleet/run_tracker.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace waxwingfront::fleet {
namespace {

// Executors report at most this many ends at once.
constexpr std::size_t kMaxEndsPerReport = 500;

// Minimum remaining validity of a ticket for sending a start.
constexpr core::milliseconds kMinTicketValidity{100};

// Any member's checkpoint is valid for the whole gang, whose members must all
// start from the same one.
void RecordCheckpoint(task_state& task, const std::string& checkpoint) {
  if (checkpoint.empty()) return;
  if (!task.Spec().gang()) {
    task.checkpoint = checkpoint;
    return;
  }
  for (task_state& member : task.job->StepOf(task).tasks) {
    member.checkpoint = checkpoint;
  }
}

}  // namespace

void run_tracker::OnHold(std::string_view executor_id,
                         const hold_report& report, core::monotonic_time sent,
                         moment at) {
  executor_state* const executor = state_.FindExecutor(executor_id);
  if (executor == nullptr) return;
  const bool restarted =
      executor->reached && report.born_ms != executor->info.born_ms;
  if (restarted || !executor->reached) {
    executor->acknowledged = 0;
    executor->processed = 0;
    executor->pending_ends.clear();
    executor->awaited_job.clear();
    executor->deadline_sent_ms =
        report.clock_ms +
        LongestEarlierLease(*executor, bounds_.longest_hold, sent).count();
  }
  if (restarted) {
    // The new incarnation has no record of earlier stops.
    for (task_state* const task : executor->active) {
      task->stop_confirmed = false;
    }
  }
  executor->info.born_ms = report.born_ms;
  executor->clock = {
      .clock_ms = report.clock_ms, .sent = sent, .received = at.now};
  executor->reached = true;
  executor->in_contact = true;
  executor->unanswered_holds = 0;
  executor->restart_expected = false;
  ProcessEnded(*executor, report, at);
  ProcessRunning(*executor, report, at);
  EndUnlistedRuns(*executor, report, sent, at);
  SendPlacedStarts(*executor, at);
}

void run_tracker::OnHoldFailed(std::string_view executor_id, moment at) {
  executor_state* const executor = state_.FindExecutor(executor_id);
  if (executor == nullptr) return;
  executor->in_contact = false;
  ++executor->unanswered_holds;
  SendPlacedStarts(*executor, at);
}

void run_tracker::OnOtherIncarnation(std::string_view executor_id,
                                     const hold_origin& hold, moment at) {
  OnHoldFailed(executor_id, at);
  executor_state* const executor = state_.FindExecutor(executor_id);
  if (executor == nullptr || executor->info.address != hold.address) return;
  const std::vector<task_state*> active = executor->active;
  for (task_state* const task : active) {
    if (task->ConfirmedBefore(hold.sent)) {
      EndRun(*task, run_outcome::kUnknownToExecutor, at);
    }
  }
}

void run_tracker::ProcessEnded(executor_state& executor,
                               const hold_report& report, moment at) {
  for (const ended_report& end : report.ended) {
    if (end.number <= executor.processed) continue;
    executor.processed = end.number;
    task_state* const task = state_.FindTask(end.task);
    const bool current = task != nullptr && task->Active() &&
                         task->run == end.run &&
                         task->executor == executor.info.id;
    if (current) {
      RecordCheckpoint(*task, end.checkpoint);
      EndRun(*task, OutcomeOf(end.how), at);
    }
    state_.AddEnd(executor, end.number, end.task.job);
  }
  state_.AcknowledgeEnds(executor);
}

void run_tracker::ProcessRunning(executor_state& executor,
                                 const hold_report& report, moment at) {
  for (task_state* const task : executor.active) task->listed = false;
  for (const running_report& row : report.running) {
    task_state* const task = state_.FindTask(row.task);
    const bool current = task != nullptr && task->Active() &&
                         task->run == row.run &&
                         task->executor == executor.info.id;
    if (!current) {
      state_.outgoing.stops.push_back(
          {.executor = executor.info.id, .task = row.task, .run = row.run});
      continue;
    }
    RecordCheckpoint(*task, row.checkpoint);
    task->executor_born_ms = report.born_ms;
    task->listed = true;
    if (task->Phase() == task_phase::kStarting ||
        task->Phase() == task_phase::kOrphaned) {
      if (task->Phase() == task_phase::kOrphaned) {
        task->pace_percent = kUnknownPace;
      }
      task->SetPhase(task_phase::kRunning);
      MarkBegun(*task->job, at);
      restarts_.OnBegun(*task, at.now);
      task->confirmed = at.now;
      task->percent_changed = at.now;
      task->last_within_target = at.now;
      // The record of a final job lists runs that had not ended yet when it was
      // written. Only those that executors still list need a stop.
      if (task->job->Final()) state_.Stop(*task, at.now);
    }
    if (row.percent != task->percent) task->percent_changed = at.now;
    task->percent = row.percent;
    task->reported_load = row.reported_load;
  }
}

void run_tracker::EndUnlistedRuns(executor_state& executor,
                                  const hold_report& report,
                                  core::monotonic_time sent, moment at) {
  // The report may be incomplete: an unlisted run may be among the ends that
  // follow.
  if (report.ended.size() >= kMaxEndsPerReport) return;
  const std::vector<task_state*> active = executor.active;
  for (task_state* const task : active) {
    if (!task->Active()) continue;
    switch (task->Phase()) {
      case task_phase::kOrphaned:
        EndRun(*task, run_outcome::kUnknownToExecutor, at);
        break;
      case task_phase::kRunning:
        if (task->confirmed < sent && !task->listed) {
          EndRun(*task, run_outcome::kUnknownToExecutor, at);
        }
        break;
      case task_phase::kStopping:
        if (task->stop_confirmed && task->stop_confirmed_at < sent &&
            !task->listed) {
          EndRun(*task, run_outcome::kStopped, at);
        }
        break;
      default:
        break;
    }
  }
}

void run_tracker::OnStartResponse(const start_order& order,
                                  start_outcome outcome, moment at) {
  task_state* const task = state_.FindTask(order.task);
  if (task == nullptr || task->run != order.run ||
      task->executor != order.executor) {
    return;
  }
  if (outcome == start_outcome::kAccepted) {
    if (task->Phase() == task_phase::kStarting) {
      task->SetPhase(task_phase::kRunning);
      MarkBegun(*task->job, at);
      restarts_.OnBegun(*task, at.now);
      task->confirmed = at.now;
      task->percent_changed = at.now;
    }
    return;
  }
  if (task->Phase() != task_phase::kStarting &&
      task->Phase() != task_phase::kStopping) {
    return;
  }
  executor_state* const executor = state_.FindExecutor(order.executor);
  if (MayBeExecuted(outcome)) {
    if (executor != nullptr) {
      executor->avoid_until = at.now + options_.unanswered_avoid_time;
    }
    state_.Stop(*task, at.now);
    if (task->Spec().gang()) EndGangRun(*task, run_outcome::kNotStarted, at);
    return;
  }
  if (outcome == start_outcome::kNotPermitted) {
    task->job->StepOf(*task).permits.RemoveTicket(order.executor);
    task->job->needs_permits = true;
  } else if (executor != nullptr && outcome != start_outcome::kNotSent &&
             outcome != start_outcome::kConnectionsBusy) {
    const bool no_capacity = outcome == start_outcome::kNoCapacity;
    executor->avoid_until =
        at.now +
        (no_capacity ? options_.no_capacity_avoid_time : options_.avoid_time);
  }
  EndRun(*task, run_outcome::kNotStarted, at);
}

void run_tracker::OnStopResponse(const stop_order& order, bool confirmed,
                                 moment at) {
  task_state* const task = state_.FindTask(order.task);
  if (task == nullptr || task->run != order.run ||
      task->Phase() != task_phase::kStopping || !confirmed) {
    return;
  }
  if (task->stop_confirmed) return;
  task->stop_confirmed = true;
  task->stop_confirmed_at = at.now;
  executor_state* const executor = state_.FindExecutor(task->executor);
  if (executor != nullptr) state_.stops.OnConfirmed(*executor, *task, at.now);
}

void run_tracker::OnPaceFailed(const pace_order& order) {
  task_state* const task = state_.FindTask(order.task);
  if (task != nullptr && task->run == order.run) {
    task->pace_percent = kUnknownPace;
  }
}

void run_tracker::OnJobStored(job_state& job, moment at) {
  state_.AcknowledgeEndsAwaiting(job);
  job.ForEachTask([this, at](task_state& task) { SendPlacedStart(task, at); });
}

void run_tracker::SendPlacedStarts(executor_state& executor, moment at) {
  const std::vector<task_state*> active = executor.active;
  for (task_state* const task : active) SendPlacedStart(*task, at);
}

void run_tracker::SendPlacedStart(task_state& task, moment at) {
  job_state& job = *task.job;
  if (task.Phase() != task_phase::kPlaced ||
      task.placed_version > job.stored_version) {
    return;
  }
  executor_state* const executor = state_.FindExecutor(task.executor);
  const std::string_view permit = job.StepOf(task).permits.Ticket(
      task.executor, at.now, kMinTicketValidity);
  if (job.Final() || executor == nullptr || !executor->MayStart(task, at.now) ||
      (state_.IsAdvised(job) && permit.empty())) {
    EndRun(task, run_outcome::kNotStarted, at);
    return;
  }
  // The response to the next hold shows which incarnation would get the start.
  if (!executor->HeldRecently(at.now)) return;
  task.SetPhase(task_phase::kStarting);
  restarts_.OnStartable(task, at.now);
  if (!job.milestones.ordered) job.milestones.ordered = at.now;
  // The start is sent slightly later, with a deadline before this bound.
  executor->deadline_sent_ms = std::max(
      executor->deadline_sent_ms,
      LatestClock(*executor->clock, at.now) + bounds_.start_lease.count());
  state_.starts.Add({.executor = task.executor,
                     .task = task.Ref(),
                     .run = task.run,
                     .payload = job.Spec().payload(),
                     .checkpoint = task.checkpoint,
                     .permit = std::string(permit),
                     .long_running = task.Spec().long_running(),
                     .placed_at = task.placed_at});
}

void run_tracker::MarkBegun(job_state& job, moment at) const {
  job.SetBegun();
  job_milestones& reached = job.milestones;
  if (reached.begun) return;
  reached.begun = at.now;
  const bool accepted_here = reached.stored && reached.placed;
  if (accepted_here && on_job_begun) on_job_begun(job);
}

void run_tracker::EndRun(task_state& task, run_outcome outcome, moment at) {
  job_state& job = *task.job;
  executor_state* const executor = state_.FindExecutor(task.executor);
  if (executor != nullptr) {
    UpdateHealth(*executor, task, outcome, at);
    state_.stops.OnEnded(*executor, task, outcome, at.now);
  }
  if (ReportedByExecutor(outcome)) MarkBegun(job, at);
  if (!task.Spec().long_running()) job.executor_time += task.RunTime(at.now);
  if (on_run_ended) on_run_ended(task, outcome, at);
  state_.Release(task, at.now);
  task.end_seen = true;
  if (task.Spec().gang()) EndGangRun(task, outcome, at);
  // The record of a final job need not include the ends of its last runs,
  // because no leader starts them again.
  if (job.Final()) return;
  state_.MarkChanged(job);
  const bool is_long_running = task.Spec().long_running();
  if (outcome == run_outcome::kDone && !is_long_running) {
    if (task.Phase() != task_phase::kSucceeded) {
      task.SetPhase(task_phase::kSucceeded);
      if (on_task_done) on_task_done(task, at);
    }
    if (job.AllSucceeded()) FinishJob(job, schema::FLEET_COMPLETED, at);
    return;
  }
  if (outcome != run_outcome::kFailed) return;
  task.failed_on = task.executor;
  if (!is_long_running) CountFailure(task, at);
}

void run_tracker::EndGangRun(task_state& ended_member, run_outcome outcome,
                             moment at) {
  step_state& step = ended_member.job->StepOf(ended_member);
  // If one member succeeds, the whole gang has succeeded; any other end stops
  // the runs of all members.
  const bool success =
      outcome == run_outcome::kDone && !ended_member.Spec().long_running();
  for (task_state& other : step.tasks) {
    if (success && other.Phase() != task_phase::kSucceeded) {
      if (other.Active()) state_.Release(other, at.now);
      other.SetPhase(task_phase::kSucceeded);
    } else if (!success && other.Active() && other.run == ended_member.run &&
               other.Phase() != task_phase::kStopping) {
      state_.Stop(other, at.now);
    }
  }
}

void run_tracker::CountFailure(task_state& task, moment at) {
  job_state& job = *task.job;
  task_state* counted = &task;
  if (task.Spec().gang()) {
    // A gang's failure counts once per run, on its first member.
    step_state& step = job.StepOf(task);
    if (step.failed_run == task.run) return;
    step.failed_run = task.run;
    counted = &step.tasks.front();
  }
  ++counted->failures;
  const queue_spec* const queue = state_.QueueOf(job);
  if (queue != nullptr &&
      counted->failures >= static_cast<std::uint32_t>(queue->max_attempts)) {
    FinishJob(job, schema::FLEET_FAILED, at);
  }
}

void run_tracker::UpdateHealth(executor_state& executor, const task_state& task,
                               run_outcome outcome, moment at) {
  if (outcome == run_outcome::kDone) executor.health.OnSuccess(task.placed_at);
  if (outcome != run_outcome::kFailed) return;
  const core::milliseconds avoid =
      executor.health.OnFailure(task.job->Id(), task.failures > 0, at.now);
  if (avoid.count() > 0) {
    executor.unhealthy_until =
        std::max(executor.unhealthy_until, at.now + avoid);
  }
}

void run_tracker::FinishJob(job_state& job, schema::fleet_job_state state,
                            moment at) {
  job.SetState(state, at.unix_ms);
  job.retained_since = at.now;
  if (on_job_final) on_job_final(job);
  state_.StopAll(job, at.now);
  state_.MarkChanged(job);
}

void run_tracker::Tick(moment at) {
  for (executor_state* const executor :
       ExpiredExecutors(state_, options_.expiry, at.now)) {
    const std::vector<task_state*> active = executor->active;
    for (task_state* const task : active) {
      if (task->Phase() == task_phase::kPlaced) continue;
      EndRun(*task, run_outcome::kExpired, at);
      if (task->Spec().long_running()) {
        task->waiting_since = SilentSince(*executor, bounds_.longest_hold);
        task->interrupted_since = task->waiting_since;
      }
    }
  }
  for (auto& [id, executor] : state_.executors) {
    for (task_state* const task : executor.active) {
      if (task->Phase() == task_phase::kStopping && !task->stop_confirmed &&
          at.now - task->stop_sent_at >= options_.stop_retry) {
        state_.Stop(*task, at.now);
      }
    }
  }
}

}  // namespace waxwingfront::fleet
