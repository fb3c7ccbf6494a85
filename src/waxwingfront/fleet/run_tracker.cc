#include "waxwingfront/fleet/run_tracker.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace waxwingfront::fleet {
namespace {

// Executors list this many ends at once.
constexpr std::size_t kEndsAtOnce = 500;

// Whether the run was surely there, if anywhere, when a hold was sent that its
// executor did not get. A start on its way has an answer of its own.
bool KnownBefore(const task_state& task, core::monotonic_time sent) {
  switch (task.phase) {
    case task_phase::kOrphaned:
      return true;
    case task_phase::kRunning:
      return task.confirmed < sent;
    case task_phase::kStopping:
      return task.stop_sent_at < sent;
    default:
      return false;
  }
}

// Any member's checkpoint is good for its whole gang, whose members must all
// start from the same one.
void TakeCheckpoint(task_state& task, const std::string& checkpoint) {
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
  const bool reborn =
      executor->reached && report.born_ms != executor->info.born_ms;
  if (reborn || !executor->reached) {
    executor->acknowledged = 0;
    executor->processed = 0;
    executor->pending_ends.clear();
    executor->awaited_job.clear();
    // Another leader may have sent a deadline, or this one a start reckoned by
    // the clock of the incarnation before.
    executor->deadline_sent_ms = report.clock_ms + bounds_.longest_hold.count();
  }
  if (reborn) {
    // The new incarnation knows nothing of stops.
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
  if (executor->incarnation_uncertain_since &&
      *executor->incarnation_uncertain_since <= sent) {
    executor->incarnation_uncertain_since.reset();
  }
  TakeEnded(*executor, report, at);
  TakeRunning(*executor, report, at);
  CloseUnlisted(*executor, report, sent, at);
}

void run_tracker::OnNoAnswer(std::string_view executor_id) {
  executor_state* const executor = state_.FindExecutor(executor_id);
  if (executor == nullptr) return;
  executor->in_contact = false;
  ++executor->unanswered_holds;
}

void run_tracker::OnGone(std::string_view executor_id, const hold_origin& hold,
                         moment at) {
  OnNoAnswer(executor_id);
  executor_state* const executor = state_.FindExecutor(executor_id);
  if (executor == nullptr || executor->info.address != hold.address) return;
  const std::vector<task_state*> active = executor->active;
  for (task_state* const task : active) {
    if (KnownBefore(*task, hold.sent)) {
      Over(*task, run_fate::kForgotten, at);
    }
  }
}

void run_tracker::TakeEnded(executor_state& executor, const hold_report& report,
                            moment at) {
  for (const ended_report& end : report.ended) {
    if (end.number <= executor.processed) continue;
    executor.processed = end.number;
    task_state* const task = state_.FindTask(end.task);
    const bool current = task != nullptr && task->Active() &&
                         task->run == end.run &&
                         task->executor == executor.info.id;
    if (!current) {
      // A member of a gang may have ended by another's end, which has to be
      // stored as well before this one is forgotten.
      const bool gang = task != nullptr && task->Spec().gang();
      executor.pending_ends.push_back({end.number,
                                       gang ? end.task.job : std::string(),
                                       gang ? task->job->version : 0});
      continue;
    }
    TakeCheckpoint(*task, end.checkpoint);
    job_state& job = *task->job;
    Over(*task, FateOf(end.how), at);
    executor.pending_ends.push_back({end.number, job.Id(), job.version});
  }
  state_.AcknowledgeEnds(executor);
}

void run_tracker::TakeRunning(executor_state& executor,
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
    TakeCheckpoint(*task, row.checkpoint);
    task->executor_born_ms = report.born_ms;
    task->listed = true;
    if (task->phase == task_phase::kStarting ||
        task->phase == task_phase::kOrphaned) {
      if (task->phase == task_phase::kOrphaned) {
        task->pace_percent = kUnknownPace;
      }
      task->phase = task_phase::kRunning;
      NoteBegun(*task->job, at);
      task->confirmed = at.now;
      task->percent_changed = at.now;
      task->last_within_target = at.now;
    }
    if (row.percent != task->percent) task->percent_changed = at.now;
    task->percent = row.percent;
    task->reported_load = row.reported_load;
  }
}

void run_tracker::CloseUnlisted(executor_state& executor,
                                const hold_report& report,
                                core::monotonic_time sent, moment at) {
  // More ends may follow: a run that is not listed may be among them.
  if (report.ended.size() >= kEndsAtOnce) return;
  const std::vector<task_state*> active = executor.active;
  for (task_state* const task : active) {
    if (!task->Active()) continue;
    switch (task->phase) {
      case task_phase::kOrphaned:
        Over(*task, run_fate::kForgotten, at);
        break;
      case task_phase::kRunning:
        if (task->confirmed < sent && !task->listed) {
          Over(*task, run_fate::kForgotten, at);
        }
        break;
      case task_phase::kStopping:
        if (task->stop_confirmed && task->stop_confirmed_at < sent &&
            !task->listed) {
          Over(*task, run_fate::kStopped, at);
        }
        break;
      default:
        break;
    }
  }
}

void run_tracker::OnStartAnswer(const start_order& order, start_outcome outcome,
                                moment at) {
  task_state* const task = state_.FindTask(order.task);
  if (task == nullptr || task->run != order.run ||
      task->executor != order.executor) {
    return;
  }
  if (outcome == start_outcome::kAccepted) {
    if (task->phase == task_phase::kStarting) {
      task->phase = task_phase::kRunning;
      NoteBegun(*task->job, at);
      task->confirmed = at.now;
      task->percent_changed = at.now;
    }
    return;
  }
  if (task->phase != task_phase::kStarting &&
      task->phase != task_phase::kStopping) {
    return;
  }
  executor_state* const executor = state_.FindExecutor(order.executor);
  if (outcome == start_outcome::kUnknown) {
    if (executor != nullptr) {
      executor->avoid_until = at.now + options_.unanswered_time;
    }
    state_.Stop(*task, at.now);
    if (task->Spec().gang()) EndGangRun(*task, run_fate::kNotStarted, at);
    return;
  }
  if (outcome == start_outcome::kNotPermitted) {
    task->job->StepOf(*task).permits.RemoveTicket(order.executor);
  } else if (executor != nullptr && outcome != start_outcome::kNotSent) {
    const bool room = outcome == start_outcome::kNoCapacity;
    executor->avoid_until =
        at.now + (room ? options_.no_room_time : options_.avoid_time);
  }
  Over(*task, run_fate::kNotStarted, at);
}

void run_tracker::OnStopAnswer(const stop_order& order, bool confirmed,
                               moment at) {
  task_state* const task = state_.FindTask(order.task);
  if (task == nullptr || task->run != order.run ||
      task->phase != task_phase::kStopping || !confirmed) {
    return;
  }
  if (task->stop_confirmed) return;
  task->stop_confirmed = true;
  task->stop_confirmed_at = at.now;
}

void run_tracker::OnPaceFailed(const pace_order& order) {
  task_state* const task = state_.FindTask(order.task);
  if (task != nullptr && task->run == order.run) {
    task->pace_percent = kUnknownPace;
  }
}

void run_tracker::OnJobStored(job_state& job, moment at) {
  state_.AcknowledgeEndsAwaiting(job);
  const bool advised = state_.IsAdvised(job);
  job.ForEachTask([this, &job, at, advised](task_state& task) {
    if (task.phase != task_phase::kPlaced ||
        task.placed_version > job.stored_version) {
      return;
    }
    executor_state* const executor = state_.FindExecutor(task.executor);
    const std::string_view permit =
        job.StepOf(task).permits.Ticket(task.executor, at.now);
    if (job.Final() || executor == nullptr || !executor->Usable(at.now) ||
        (advised && permit.empty())) {
      Over(task, run_fate::kNotStarted, at);
      return;
    }
    task.phase = task_phase::kStarting;
    if (!job.milestones.ordered) job.milestones.ordered = at.now;
    // The start is sent a little later, with a deadline below this.
    executor->deadline_sent_ms = std::max(
        executor->deadline_sent_ms,
        LatestClock(*executor->clock, at.now) + bounds_.hold_reach.count());
    state_.outgoing.starts.push_back({.executor = task.executor,
                                      .task = task.Ref(),
                                      .run = task.run,
                                      .payload = job.Spec().payload(),
                                      .checkpoint = task.checkpoint,
                                      .permit = std::string(permit)});
  });
}

void run_tracker::NoteBegun(job_state& job, moment at) const {
  job.SetBegun();
  job_milestones& reached = job.milestones;
  if (reached.begun) return;
  reached.begun = at.now;
  const bool accepted_here = reached.stored && reached.placed;
  if (accepted_here && on_begun) on_begun(job);
}

void run_tracker::Over(task_state& task, run_fate fate, moment at) {
  job_state& job = *task.job;
  executor_state* const executor = state_.FindExecutor(task.executor);
  if (executor != nullptr) CountHealth(*executor, task, fate, at);
  if (IsListed(fate)) NoteBegun(job, at);
  if (on_over) on_over(task, fate, at);
  state_.Release(task, at.now);
  if (task.Spec().gang()) EndGangRun(task, fate, at);
  // The record of a final job need not follow the ends of its last runs: no
  // leader starts them again.
  if (job.Final()) return;
  state_.MarkChanged(job);
  const bool lasts = task.Spec().long_running();
  if (fate == run_fate::kDone && !lasts) {
    if (task.phase != task_phase::kSucceeded) {
      task.phase = task_phase::kSucceeded;
      ++job.StepOf(task).succeeded;
    }
    if (job.AllSucceeded()) FinishJob(job, schema::FLEET_COMPLETED, at);
    return;
  }
  if (fate != run_fate::kFailed) return;
  task.failed_on = task.executor;
  if (!lasts) CountFailure(task, at);
}

void run_tracker::EndGangRun(task_state& first, run_fate fate, moment at) {
  step_state& step = first.job->StepOf(first);
  // One member's success is that of all; any other end breaks the run.
  const bool success = fate == run_fate::kDone && !first.Spec().long_running();
  for (task_state& other : step.tasks) {
    if (success && other.phase != task_phase::kSucceeded) {
      if (other.Active()) state_.Release(other, at.now);
      other.phase = task_phase::kSucceeded;
      ++step.succeeded;
    } else if (!success && other.Active() && other.run == first.run &&
               other.phase != task_phase::kStopping) {
      state_.Stop(other, at.now);
    }
  }
}

void run_tracker::CountFailure(task_state& task, moment at) {
  job_state& job = *task.job;
  task_state* counted = &task;
  if (task.Spec().gang()) {
    // Failures of a gang are counted once a run, with its first member.
    step_state& step = job.StepOf(task);
    if (step.failed_run == task.run) return;
    step.failed_run = task.run;
    counted = &step.tasks.front();
  }
  ++counted->failures;
  const queue_spec* const queue = state_.FindQueue(job.Spec().queue());
  if (queue != nullptr &&
      counted->failures >= static_cast<std::uint32_t>(queue->max_attempts)) {
    FinishJob(job, schema::FLEET_FAILED, at);
  }
}

void run_tracker::CountHealth(executor_state& executor, const task_state& task,
                              run_fate fate, moment at) {
  if (fate == run_fate::kDone) executor.consecutive_failures = 0;
  if (fate != run_fate::kFailed) return;
  // A job that can never succeed fails everywhere and says little.
  if (executor.last_failed_job == task.job->Id()) return;
  executor.last_failed_job = task.job->Id();
  ++executor.consecutive_failures;
  if (executor.consecutive_failures < options_.failures_to_avoid) return;
  executor.avoid_until = at.now + options_.avoid_time;
}

void run_tracker::FinishJob(job_state& job, schema::fleet_job_state state,
                            moment at) {
  job.SetState(state, at.unix_ms);
  if (on_final) on_final(job);
  state_.StopAll(job, at.now);
  state_.MarkChanged(job);
}

void run_tracker::Tick(moment at) {
  for (executor_state* const executor :
       ExpiredExecutors(state_, options_.expiry, at.now)) {
    const std::vector<task_state*> active = executor->active;
    for (task_state* const task : active) {
      if (task->phase == task_phase::kPlaced) continue;
      Over(*task, run_fate::kExpired, at);
    }
  }
  for (auto& [id, executor] : state_.executors) {
    for (task_state* const task : executor.active) {
      if (task->phase == task_phase::kStopping && !task->stop_confirmed &&
          at.now - task->stop_sent_at >= options_.stop_retry) {
        state_.Stop(*task, at.now);
      }
    }
  }
}

}  // namespace waxwingfront::fleet
