#include "waxwingfront/fleet/job_state.h"

#include <algorithm>
#include <utility>

#include "waxwingfront/fleet/job_cost.h"
#include "waxwingfront/fleet/job_queue.h"

namespace waxwingfront::fleet {
namespace {

// Processes of versions that do not know `done_occurrences` take a job over
// with the tasks that are listed as done. Longer lists of them would fill the
// store.
constexpr std::size_t kMaxListedTasks = 4096;

}  // namespace

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

job_state::job_state(schema::fleet_job spec, core::monotonic_time accepted,
                     occurrence_creation first)
    : spec_(std::move(spec)),
      queue_(RecordedQueue(spec_)),
      accepted_(accepted),
      over_(std::max<std::uint32_t>(1, spec_.repetitions())),
      tasks_per_occurrence_(TasksOf(spec_)) {
  const bool runs_once = spec_.repetitions() == 0;
  if (runs_once && first == occurrence_creation::kImmediate) MakeOccurrence(0);
}

std::optional<std::uint32_t> job_state::NextOccurrence() const {
  if (Final() || next_ == OccurrenceCount()) return std::nullopt;
  return next_;
}

void job_state::MakeOccurrence(std::uint32_t occurrence) {
  if (over_[occurrence]) return;
  const auto [made, added] = occurrences_.try_emplace(occurrence);
  if (!added) return;
  std::vector<step_state>& steps = made->second.steps;
  steps.resize(spec_.steps_size());
  for (std::uint32_t s = 0; s < steps.size(); ++s) {
    steps[s].tasks.resize(spec_.steps(static_cast<int>(s)).task_count());
    for (std::uint32_t i = 0; i < steps[s].tasks.size(); ++i) {
      task_state& task = steps[s].tasks[i];
      task.job = this;
      task.spec = &spec_.steps(static_cast<int>(s));
      task.occurrence = occurrence;
      task.step = s;
      task.index = i;
      task.waiting_since = accepted_;
      task.interrupted_since = accepted_;
      CountWaiting(task, true);
    }
  }
  PassMade();
}

void job_state::PassMade() {
  while (next_ < OccurrenceCount() &&
         (over_[next_] || occurrences_.contains(next_))) {
    ++next_;
  }
}

void job_state::SetOver(std::uint32_t occurrence) {
  if (over_[occurrence]) return;
  over_[occurrence] = true;
  ++over_count_;
  PassMade();
}

void job_state::FreeEndedOccurrences() {
  const bool all = Final() && !AnyActive();
  for (auto one = occurrences_.begin(); one != occurrences_.end();) {
    const auto& [number, state] = *one;
    const bool done = std::ranges::all_of(state.steps, &step_state::Done);
    if (!done && !all) {
      ++one;
      continue;
    }
    if (done) SetOver(number);
    for (const step_state& step : state.steps) {
      for (const task_state& task : step.tasks) {
        if (task.Phase() == task_phase::kWaiting) CountWaiting(task, false);
      }
    }
    one = occurrences_.erase(one);
  }
}

bool job_state::IsOver(std::uint32_t occurrence) const {
  if (over_[occurrence]) return true;
  const auto found = occurrences_.find(occurrence);
  return found != occurrences_.end() &&
         std::ranges::all_of(found->second.steps, &step_state::Done);
}

std::uint32_t job_state::FirstIncomplete() const {
  std::uint32_t first = 0;
  while (first + 1 < OccurrenceCount() && IsOver(first)) ++first;
  return first;
}

void job_state::SetState(schema::fleet_job_state state,
                         std::int64_t now_unix_ms) {
  state_ = state;
  if (Final()) ended_unix_ms_ = now_unix_ms;
}

task_state* job_state::Find(const task_ref& ref) {
  const auto found = occurrences_.find(ref.occurrence);
  if (found == occurrences_.end()) return nullptr;
  std::vector<step_state>& steps = found->second.steps;
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
  const auto found = occurrences_.find(occurrence);
  if (found == occurrences_.end()) return false;
  const std::vector<step_state>& steps = found->second.steps;
  return std::ranges::all_of(spec_.steps(static_cast<int>(step)).after(),
                             [&steps](std::uint32_t before) {
                               return before < steps.size() &&
                                      steps[before].Done();
                             });
}

bool job_state::AnyReadyTaskWaits(std::int64_t now_unix_ms) const {
  if (waiting_ == 0) return false;
  for (const auto& [k, occurrence] : occurrences_) {
    const std::vector<step_state>& steps = occurrence.steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      if (steps[s].waiting > 0 && StepReady(k, s, now_unix_ms)) return true;
    }
  }
  return false;
}

path_lengths job_state::CriticalPath(std::uint32_t occurrence) const {
  const auto found = occurrences_.find(occurrence);
  if (found == occurrences_.end()) {
    return ComputePath(nullptr, over_[occurrence]);
  }
  const occurrence_state& one = found->second;
  if (!one.critical_path) one.critical_path = ComputePath(&one, false);
  return *one.critical_path;
}

path_lengths job_state::ComputePath(const occurrence_state* one,
                                    bool over) const {
  std::vector<path_lengths> until(spec_.steps_size());
  path_lengths critical;
  for (std::size_t s = 0; s < until.size(); ++s) {
    const schema::fleet_step& spec = spec_.steps(static_cast<int>(s));
    for (const std::uint32_t before : spec.after()) {
      until[s].total = std::max(until[s].total, until[before].total);
      until[s].remaining =
          std::max(until[s].remaining, until[before].remaining);
    }
    const core::milliseconds time(spec.estimated_ms());
    until[s].total += time;
    const bool done = one == nullptr ? over : one->steps[s].Done();
    if (!done) until[s].remaining += time;
    critical.total = std::max(critical.total, until[s].total);
    critical.remaining = std::max(critical.remaining, until[s].remaining);
  }
  return critical;
}

void job_state::CountPhase(const task_state& task, task_phase from,
                           task_phase to) {
  if (from == task_phase::kWaiting) CountWaiting(task, false);
  if (to == task_phase::kWaiting) CountWaiting(task, true);
  const bool succeeded = to == task_phase::kSucceeded;
  if (succeeded == (from == task_phase::kSucceeded)) return;
  step_state& step = StepOf(task);
  succeeded ? ++step.succeeded : --step.succeeded;
  occurrences_.find(task.occurrence)->second.critical_path.reset();
}

void job_state::CountWaiting(const task_state& task, bool waits) {
  const auto count = [waits](auto& number) { waits ? ++number : --number; };
  count(StepOf(task).waiting);
  count(waiting_);
  if (task.Spec().long_running()) count(waiting_long_running_);
}

bool job_state::AllSucceeded() const {
  const auto done =
      std::ranges::count_if(occurrences_, [](const auto& occurrence) {
        return std::ranges::all_of(occurrence.second.steps, &step_state::Done);
      });
  return over_count_ + static_cast<std::size_t>(done) == over_.size();
}

bool job_state::AnyActive() const {
  for (const auto& [number, occurrence] : occurrences_) {
    for (const step_state& step : occurrence.steps) {
      if (std::ranges::any_of(step.tasks, &task_state::Active)) return true;
    }
  }
  return false;
}

void job_state::ForEachTask(const std::function<void(task_state&)>& visit) {
  for (auto& [number, occurrence] : occurrences_) {
    for (step_state& step : occurrence.steps) {
      for (task_state& task : step.tasks) visit(task);
    }
  }
}

schema::fleet_progress job_state::ToRecord() const {
  schema::fleet_progress record;
  record.set_state(state_);
  record.set_ended_unix_ms(ended_unix_ms_);
  // No leader starts a final job again.
  const bool list_done =
      !Final() && tasks_per_occurrence_ * over_.size() <= kMaxListedTasks;
  for (std::uint32_t k = 0; k < OccurrenceCount(); ++k) {
    if (over_[k]) {
      if (!Final()) record.add_done_occurrences(k);
      if (list_done) ListDone(k, record);
      continue;
    }
    const auto found = occurrences_.find(k);
    if (found != occurrences_.end()) ListTasks(found->second, record);
  }
  return record;
}

void job_state::ListDone(std::uint32_t occurrence,
                         schema::fleet_progress& record) const {
  for (int s = 0; s < spec_.steps_size(); ++s) {
    for (std::uint32_t i = 0; i < spec_.steps(s).task_count(); ++i) {
      schema::fleet_task& entry = *record.add_tasks();
      entry.set_occurrence(occurrence);
      entry.set_step(static_cast<std::uint32_t>(s));
      entry.set_index(i);
      entry.set_run(1);
      entry.set_succeeded(true);
    }
  }
}

void job_state::ListTasks(const occurrence_state& occurrence,
                          schema::fleet_progress& record) const {
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

void job_state::Restore(const schema::fleet_progress& record) {
  state_ = record.state();
  stored_state = record.state();
  ended_unix_ms_ = record.ended_unix_ms();
  for (const std::uint32_t done : record.done_occurrences()) {
    if (done < OccurrenceCount()) SetOver(done);
  }
  // Earlier versions list each task that is done.
  std::map<std::uint32_t, std::size_t> succeeded;
  for (const schema::fleet_task& entry : record.tasks()) {
    if (entry.succeeded()) ++succeeded[entry.occurrence()];
  }
  for (const auto& [occurrence, tasks] : succeeded) {
    if (occurrence < OccurrenceCount() && tasks == tasks_per_occurrence_) {
      SetOver(occurrence);
    }
  }
  begun_ |= over_count_ > 0;
  for (const schema::fleet_task& entry : record.tasks()) {
    const bool runs_on = !Final() || entry.active();
    if (runs_on && entry.occurrence() < OccurrenceCount()) RestoreTask(entry);
  }
}

void job_state::RestoreTask(const schema::fleet_task& entry) {
  MakeOccurrence(entry.occurrence());
  task_state* const task = Find({.job = Id(),
                                 .occurrence = entry.occurrence(),
                                 .step = entry.step(),
                                 .index = entry.index()});
  if (task == nullptr) return;
  task->run = entry.run();
  task->failures = entry.failures();
  if (task->index == 0) StepOf(*task).failed_run = entry.failed_run();
  task->checkpoint = entry.checkpoint();
  begun_ |=
      entry.succeeded() || entry.failures() > 0 || !entry.checkpoint().empty();
  if (entry.succeeded()) {
    task->SetPhase(task_phase::kSucceeded);
  } else if (entry.active()) {
    task->SetPhase(task_phase::kOrphaned);
    task->executor = entry.executor();
    task->executor_born_ms = entry.executor_born_ms();
  }
}

bool job_state::RetentionOver(core::milliseconds retention,
                              core::monotonic_time now) const {
  return retained_since && !removing && stored_version >= version &&
         now - *retained_since >= retention && now >= late_writes_until &&
         !AnyActive();
}

}  // namespace waxwingfront::fleet
