#include "waxwingfront/fleet/reserved_placement.h"

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace waxwingfront::fleet {
namespace {

using waiting_tasks =
    std::unordered_map<const schema::fleet_step*, std::vector<task_state*>>;

bool MayUseReserved(const fleet_state& state, const task_state& task,
                    moment at) {
  const job_state& job = *task.job;
  return task.Phase() == task_phase::kWaiting && !job.Final() &&
         !task.Spec().gang() && !state.IsAdvised(job) &&
         job.StepReady(task.occurrence, task.step, at.unix_ms);
}

waiting_tasks CollectWaiting(const fleet_state& state,
                             std::span<const interrupted_task> interrupted,
                             moment at) {
  waiting_tasks waiting;
  for (const interrupted_task& one : interrupted) {
    if (!MayUseReserved(state, *one.task, at)) continue;
    waiting[one.task->spec].push_back(one.task);
  }
  for (auto& [step, tasks] : waiting) {
    std::ranges::stable_sort(tasks, {}, &task_state::waiting_since);
  }
  return waiting;
}

}  // namespace

void ForEachReserved(
    fleet_state& state, std::span<const interrupted_task> interrupted,
    moment at,
    const std::function<reserved_outcome(task_state&, executor_state&)>&
        try_place) {
  waiting_tasks waiting = CollectWaiting(state, interrupted, at);
  if (waiting.empty()) return;
  for (auto& [id, executor] : state.executors) {
    // A copy, since placements use reservations up.
    const std::vector<capacity_reservation> reservations =
        executor.Reservations();
    for (const capacity_reservation& reservation : reservations) {
      const auto step = waiting.find(reservation.step);
      if (step == waiting.end()) continue;
      std::vector<task_state*>& tasks = step->second;
      // A task that has failed is more selective, and one that has waited
      // longer is less so.
      for (const bool failed : {false, true}) {
        const auto next = std::ranges::find_if(
            tasks, [failed, &name = id](const task_state* task) {
              return task->failed_on.empty() != failed &&
                     task->failed_on != name;
            });
        if (next == tasks.end()) continue;
        const reserved_outcome outcome = try_place(**next, executor);
        if (outcome == reserved_outcome::kStop) return;
        if (outcome == reserved_outcome::kNotPlaced) continue;
        tasks.erase(next);
        break;
      }
    }
  }
}

}  // namespace waxwingfront::fleet
