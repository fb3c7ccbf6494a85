#include "waxwingfront/fleet/planning_order.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace waxwingfront::fleet {
namespace {

// True if the job's first step is ready and a task of it has waited long.
bool AnyWaitsLong(const job_state& job, core::monotonic_time now) {
  if (job.Occurrences().empty()) return false;
  const step_state& step = job.Occurrences().begin()->second.steps.front();
  return step.waiting > 0 && step.ready_since &&
         std::ranges::any_of(step.tasks, [now](const task_state& task) {
           return WaitsLong(task, now);
         });
}

// Returns when the first of the job's interrupted tasks came to a standstill;
// nothing if none has stood still for `kLongWait`.
std::optional<core::monotonic_time> LongestStandstill(
    const job_state& job, core::monotonic_time now) {
  std::optional<core::monotonic_time> since;
  if (job.WaitingLongRunning() == 0) return since;
  for (const auto& [number, occurrence] : job.Occurrences()) {
    for (const step_state& step : occurrence.steps) {
      if (step.waiting == 0) continue;
      for (const task_state& task : step.tasks) {
        if (task.Phase() == task_phase::kWaiting && task.IsInterrupted() &&
            now - task.interrupted_since >= kLongWait) {
          since = std::min(since.value_or(now), task.interrupted_since);
        }
      }
    }
  }
  return since;
}

ranked_job Rank(const fleet_state& state, job_state& job, std::uint64_t sweep,
                core::monotonic_time now) {
  const queue_spec* const spec = state.QueueOf(job);
  const std::uint32_t occurrence = job.FirstIncomplete();
  const job_deadlines deadlines = ComputeDeadlines(job, occurrence, spec);
  const deadline_feasibility feasibility = FeasibilityOf(deadlines, now);
  const bool is_last = occurrence + 1 == job.OccurrenceCount();
  const schema::fleet_step& first = job.Spec().steps(0);
  const bool is_long_running = first.long_running();
  return {.visited = job.planned_sweep == sweep,
          .priority = spec == nullptr ? std::numeric_limits<int>::max()
                                      : spec->priority,
          .within_wait_limit = !is_long_running || !AnyWaitsLong(job, now),
          .long_running_image =
              is_long_running ? std::string_view(first.image()) : "",
          .colocatable = is_long_running && first.max_per_executor() == 0,
          .long_running_cpu = is_long_running ? first.cpu_millis() : 0,
          .feasibility = feasibility,
          .due = deadlines.due,
          .useless = job.planned_sweep != 0 && !is_long_running && is_last &&
                     feasibility == deadline_feasibility::kInfeasible,
          .only_short_tasks = job.WaitingLongRunning() == 0,
          .last_visit = job.planned_round,
          .job = &job};
}

}  // namespace

bool WaitsLong(const task_state& task, core::monotonic_time now) {
  return task.Phase() == task_phase::kWaiting &&
         now - task.waiting_since >= kLongWait;
}

void planning_queue::Clear() {
  overdue.clear();
  others.clear();
  useless.clear();
}

void QueueWaitingJobs(const fleet_state& state, std::uint64_t sweep,
                      std::uint64_t round, bool separate_useless, moment at,
                      planning_queue& queue) {
  queue.Clear();
  for (job_state* const job : state.live) {
    if (job->Final() || !job->AnyReadyTaskWaits(at.unix_ms)) continue;
    if (job->planned_round == 0) job->planned_round = round;
    ranked_job ranked = Rank(state, *job, sweep, at.now);
    if (const auto since = LongestStandstill(*job, at.now)) {
      ranked.standing_since = *since;
      queue.overdue.push_back(ranked);
    } else if (separate_useless && ranked.useless) {
      queue.useless.push_back(ranked);
    } else {
      queue.others.push_back(ranked);
    }
  }
  std::ranges::stable_sort(queue.overdue, {}, &ranked_job::standing_since);
  std::stable_sort(queue.others.begin(), queue.others.end());
  SortByLastVisit(queue.overdue);
  std::stable_sort(queue.useless.begin(), queue.useless.end(),
                   [](const ranked_job& left, const ranked_job& right) {
                     return std::tie(left.last_visit, left.due) <
                            std::tie(right.last_visit, right.due);
                   });
}

void SortByLastVisit(std::vector<ranked_job>& jobs) {
  std::ranges::stable_sort(jobs, {}, &ranked_job::last_visit);
}

}  // namespace waxwingfront::fleet
