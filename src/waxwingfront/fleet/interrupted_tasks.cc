#include "waxwingfront/fleet/interrupted_tasks.h"

#include <algorithm>

namespace waxwingfront::fleet {
namespace {

// Expected time from the stop of a run to its end.
constexpr core::milliseconds kStopTime{500};

bool MayStillRun(const task_state& task) {
  return task.Spec().long_running() && !task.job->Final() &&
         (task.Phase() == task_phase::kRunning ||
          task.Phase() == task_phase::kStopping);
}

void AddLeaving(const executor_state& executor, core::monotonic_time now,
                std::vector<interrupted_task>& found) {
  const std::optional<core::milliseconds> stays = executor.StaysFor(now);
  if (!stays) return;
  for (task_state* const task : executor.active) {
    if (!MayStillRun(*task)) continue;
    found.push_back(
        {.task = task,
         .restartable_at = now + kStopTime,
         .leaving = true,
         .stays = std::chrono::floor<std::chrono::seconds>(*stays)});
  }
}

void AddWaiting(job_state& job, core::monotonic_time now,
                std::vector<interrupted_task>& found) {
  for (auto& [number, occurrence] : job.Occurrences()) {
    for (step_state& step : occurrence.steps) {
      if (step.waiting == 0) continue;
      for (task_state& task : step.tasks) {
        if (task.Phase() == task_phase::kWaiting && task.IsInterrupted()) {
          found.push_back({.task = &task, .restartable_at = now});
        }
      }
    }
  }
}

}  // namespace

std::vector<interrupted_task> FindInterruptedTasks(
    const fleet_state& state, const lease_expiry_options& options,
    core::monotonic_time now, core::monotonic_time until) {
  std::vector<interrupted_task> found;
  for (job_state* const job : state.live) {
    if (job->Final() || job->WaitingLongRunning() == 0) continue;
    AddWaiting(*job, now, found);
  }
  for (const auto& [id, executor] : state.executors) {
    if (executor.long_running_count == 0) continue;
    if (executor.in_contact) {
      if (executor.info.draining) AddLeaving(executor, now, found);
      continue;
    }
    const core::monotonic_time over =
        std::max(now, RunsOverIfSilent(executor, options));
    if (over > until) continue;
    for (task_state* const task : executor.active) {
      if (task->Spec().long_running() && !task->job->Final()) {
        found.push_back({.task = task, .restartable_at = over});
      }
    }
  }
  return found;
}

}  // namespace waxwingfront::fleet
