#include "waxwingfront/fleet/job_state.h"

#include <algorithm>
#include <utility>

#include "waxwingfront/fleet/job_queue.h"

namespace waxwingfront::fleet {

task_ref task_state::Ref() const {
  return {
      .job = job->Id(), .occurrence = occurrence, .step = step, .index = index};
}

void task_state::SetPhase(task_phase phase) {
  const task_phase before = std::exchange(phase_, phase);
  if (before != phase) job->CountPhase(*this, before, phase);
}

bool task_state::ConfirmedBefore(core::monotonic_time sent) const {
  switch (phase_) {
    case task_phase::kOrphaned:
      return true;
    case task_phase::kRunning:
      return confirmed < sent;
    case task_phase::kStopping:
      return stop_sent_at < sent;
    default:
      return false;
  }
}

core::milliseconds task_state::RunTime(core::monotonic_time now) const {
  return HasBegun() ? std::chrono::floor<core::milliseconds>(now - confirmed)
                    : core::milliseconds(0);
}

core::resources task_state::Needs() const {
  const schema::fleet_step& spec = Spec();
  return {.processor_milli = spec.fills() ? 0 : spec.cpu_millis(),
          .memory_mib = spec.memory_mb(),
          .accelerators = spec.accelerators()};
}

job_state::job_state(schema::fleet_job spec, core::monotonic_time accepted)
    : spec_(std::move(spec)),
      queue_(RecordedQueue(spec_)),
      accepted_(accepted) {
  occurrences_.resize(std::max<std::uint32_t>(1, spec_.repetitions()));
  for (std::uint32_t k = 0; k < occurrences_.size(); ++k) {
    std::vector<step_state>& steps = occurrences_[k].steps;
    steps.resize(spec_.steps_size());
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      steps[s].tasks.resize(spec_.steps(static_cast<int>(s)).task_count());
      for (std::uint32_t i = 0; i < steps[s].tasks.size(); ++i) {
        task_state& task = steps[s].tasks[i];
        task.job = this;
        task.spec = &spec_.steps(static_cast<int>(s));
        task.occurrence = k;
        task.step = s;
        task.index = i;
        task.waiting_since = accepted;
        task.interrupted_since = accepted;
        CountWaiting(task, true);
      }
    }
  }
}

void job_state::SetState(schema::fleet_job_state state,
                         std::int64_t now_unix_ms) {
  state_ = state;
  if (Final()) ended_unix_ms_ = now_unix_ms;
}

task_state* job_state::Find(const task_ref& ref) {
  if (ref.occurrence >= occurrences_.size()) return nullptr;
  std::vector<step_state>& steps = occurrences_[ref.occurrence].steps;
  if (ref.step >= steps.size()) return nullptr;
  std::vector<task_state>& tasks = steps[ref.step].tasks;
  return ref.index < tasks.size() ? &tasks[ref.index] : nullptr;
}

std::int64_t job_state::DueUnixMs(std::uint32_t occurrence) const {
  if (spec_.repetitions() == 0) return spec_.accepted_unix_ms();
  return spec_.first_run_ms() +
         static_cast<std::int64_t>(occurrence) * spec_.interval_ms();
}

core::monotonic_time job_state::DueStart(std::uint32_t occurrence) const {
  const std::int64_t wait_ms = DueUnixMs(occurrence) - spec_.accepted_unix_ms();
  return accepted_ + core::milliseconds(std::max<std::int64_t>(0, wait_ms));
}

bool job_state::StepReady(std::uint32_t occurrence, std::uint32_t step,
                          std::int64_t now_unix_ms) const {
  if (spec_.repetitions() > 0 && now_unix_ms < DueUnixMs(occurrence)) {
    return false;
  }
  const std::vector<step_state>& steps = occurrences_[occurrence].steps;
  return std::ranges::all_of(spec_.steps(static_cast<int>(step)).after(),
                             [&steps](std::uint32_t before) {
                               return before < steps.size() &&
                                      steps[before].Done();
                             });
}

bool job_state::AnyReadyTaskWaits(std::int64_t now_unix_ms) const {
  if (waiting_ == 0) return false;
  for (std::uint32_t k = 0; k < occurrences_.size(); ++k) {
    const std::vector<step_state>& steps = occurrences_[k].steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      if (steps[s].waiting > 0 && StepReady(k, s, now_unix_ms)) return true;
    }
  }
  return false;
}

const path_lengths& job_state::CriticalPath(std::uint32_t occurrence) const {
  const occurrence_state& one = occurrences_[occurrence];
  if (one.critical_path) return *one.critical_path;
  std::vector<path_lengths> until(one.steps.size());
  path_lengths critical;
  for (std::size_t s = 0; s < one.steps.size(); ++s) {
    const schema::fleet_step& spec = spec_.steps(static_cast<int>(s));
    for (const std::uint32_t before : spec.after()) {
      until[s].total = std::max(until[s].total, until[before].total);
      until[s].remaining =
          std::max(until[s].remaining, until[before].remaining);
    }
    const core::milliseconds time(spec.estimated_ms());
    until[s].total += time;
    if (!one.steps[s].Done()) until[s].remaining += time;
    critical.total = std::max(critical.total, until[s].total);
    critical.remaining = std::max(critical.remaining, until[s].remaining);
  }
  one.critical_path = critical;
  return *one.critical_path;
}

void job_state::CountPhase(const task_state& task, task_phase from,
                           task_phase to) {
  if (from == task_phase::kWaiting) CountWaiting(task, false);
  if (to == task_phase::kWaiting) CountWaiting(task, true);
  const bool succeeded = to == task_phase::kSucceeded;
  if (succeeded == (from == task_phase::kSucceeded)) return;
  step_state& step = StepOf(task);
  succeeded ? ++step.succeeded : --step.succeeded;
  occurrences_[task.occurrence].critical_path.reset();
}

void job_state::CountWaiting(const task_state& task, bool waits) {
  const auto count = [waits](auto& number) { waits ? ++number : --number; };
  count(StepOf(task).waiting);
  count(waiting_);
  if (task.Spec().long_running()) count(waiting_long_running_);
}

bool job_state::AllSucceeded() const {
  return std::ranges::all_of(occurrences_, [](const occurrence_state& one) {
    return std::ranges::all_of(one.steps, &step_state::Done);
  });
}

bool job_state::AnyActive() const {
  for (const occurrence_state& occurrence : occurrences_) {
    for (const step_state& step : occurrence.steps) {
      if (std::ranges::any_of(step.tasks, &task_state::Active)) return true;
    }
  }
  return false;
}

void job_state::ForEachTask(const std::function<void(task_state&)>& visit) {
  for (occurrence_state& occurrence : occurrences_) {
    for (step_state& step : occurrence.steps) {
      for (task_state& task : step.tasks) visit(task);
    }
  }
}

schema::fleet_progress job_state::ToRecord() const {
  schema::fleet_progress record;
  record.set_state(state_);
  record.set_ended_unix_ms(ended_unix_ms_);
  for (const occurrence_state& occurrence : occurrences_) {
    for (const step_state& step : occurrence.steps) {
      for (const task_state& task : step.tasks) {
        if (task.run == 0) continue;
        // A final job's record needs only runs that may still be active.
        if (Final() && !task.Active()) continue;
        schema::fleet_task& entry = *record.add_tasks();
        entry.set_occurrence(task.occurrence);
        entry.set_step(task.step);
        entry.set_index(task.index);
        entry.set_run(task.run);
        entry.set_failures(task.failures);
        if (task.index == 0) entry.set_failed_run(step.failed_run);
        if (task.Phase() == task_phase::kSucceeded) {
          entry.set_succeeded(true);
          continue;
        }
        entry.set_checkpoint(task.checkpoint);
        if (!task.Active()) continue;
        entry.set_active(true);
        entry.set_executor(task.executor);
        entry.set_executor_born_ms(task.executor_born_ms);
      }
    }
  }
  return record;
}

void job_state::Restore(const schema::fleet_progress& record) {
  state_ = record.state();
  stored_state = record.state();
  ended_unix_ms_ = record.ended_unix_ms();
  for (const schema::fleet_task& entry : record.tasks()) {
    task_state* const task = Find({.job = Id(),
                                   .occurrence = entry.occurrence(),
                                   .step = entry.step(),
                                   .index = entry.index()});
    if (task == nullptr) continue;
    task->run = entry.run();
    task->failures = entry.failures();
    if (task->index == 0) StepOf(*task).failed_run = entry.failed_run();
    task->checkpoint = entry.checkpoint();
    begun_ |= entry.succeeded() || entry.failures() > 0 ||
              !entry.checkpoint().empty();
    if (entry.succeeded()) {
      task->SetPhase(task_phase::kSucceeded);
    } else if (entry.active()) {
      task->SetPhase(task_phase::kOrphaned);
      task->executor = entry.executor();
      task->executor_born_ms = entry.executor_born_ms();
    }
  }
}

bool job_state::RetentionOver(core::milliseconds retention,
                              core::monotonic_time now) const {
  return retained_since && !removing && stored_version >= version &&
         now - *retained_since >= retention && now >= late_writes_until &&
         !AnyActive();
}

}  // namespace waxwingfront::fleet
