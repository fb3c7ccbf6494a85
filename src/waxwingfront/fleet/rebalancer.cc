#include "waxwingfront/fleet/rebalancer.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

namespace waxwingfront::fleet {
namespace {

// Returns for each step how many reservations have free capacity, without those
// for tasks that wait or are being stopped already.
std::map<const schema::fleet_step*, std::int64_t> CountFreePlaces(
    const fleet_state& state, core::monotonic_time now) {
  std::map<const schema::fleet_step*, std::int64_t> places;
  for (const auto& [id, executor] : state.executors) {
    if (executor.Available(now)) {
      core::resources sum;
      for (const capacity_reservation& reservation : executor.Reservations()) {
        sum += reservation.amount;
        if (executor.Free().Holds(sum)) ++places[reservation.step];
      }
    }
    if (!executor.info.draining) continue;
    for (const task_state* const task : executor.active) {
      if (task->Phase() == task_phase::kStopping) --places[task->spec];
    }
  }
  for (const job_state* const job : state.live) {
    if (job->Final() || job->WaitingLongRunning() == 0) continue;
    for (const auto& [number, occurrence] : job->Occurrences()) {
      for (const step_state& step : occurrence.steps) {
        const auto found = places.find(step.tasks.front().spec);
        if (found == places.end()) continue;
        found->second -=
            std::ranges::count_if(step.tasks, [](const task_state& task) {
              return task.Phase() == task_phase::kWaiting &&
                     task.IsInterrupted();
            });
      }
    }
  }
  return places;
}

}  // namespace

void rebalancer::Run(moment at) {
  if (at.now < next_) return;
  next_ = at.now + options_.period;
  Evacuate(at);
  std::vector<task_state*> slow;
  for (auto& [id, executor] : state_.executors) {
    for (task_state* const task : executor.active) {
      if (MayMove(*task, at)) slow.push_back(task);
    }
  }
  // Continues behind the last executor, so that each has its turn.
  const auto first = std::ranges::find_if(slow, [this](const auto* task) {
    return task->executor > last_considered_;
  });
  std::rotate(slow.begin(), first, slow.end());
  int moves = 0;
  for (task_state* const task : slow) {
    if (moves >= options_.max_moves) return;
    last_considered_ = task->executor;
    const executor_state* const target = ChooseExecutor(
        state_, *task, state_.ServiceOf(*task->job), at.now, cost_);
    if (target == nullptr || target->info.id == task->executor ||
        cost_(*target, *task, at.now) >= options_.max_target_cost) {
      continue;
    }
    if (on_move) on_move(*task, at);
    state_.Stop(*task, at.now);
    ++moves;
  }
}

void rebalancer::Evacuate(moment at) {
  struct leaving_executor {
    executor_state* executor;
    core::milliseconds stays;
  };
  std::vector<leaving_executor> draining;
  for (auto& [id, executor] : state_.executors) {
    if (!executor.info.draining || executor.long_running_count == 0) continue;
    const auto stays = executor.StaysFor(at.now);
    if (stays) draining.push_back({&executor, *stays});
  }
  if (draining.empty()) return;
  std::ranges::stable_sort(draining, {}, &leaving_executor::stays);
  std::map<const schema::fleet_step*, std::int64_t> places =
      CountFreePlaces(state_, at.now);
  for (const auto& [executor, stays] : draining) {
    const bool leaves =
        stays <= state_.stops.LeadFor(executor->long_running_count);
    const std::vector<task_state*> active = executor->active;
    for (task_state* const task : active) {
      if (!task->Spec().long_running() ||
          task->Phase() != task_phase::kRunning) {
        continue;
      }
      if (--places[task->spec] < 0 && !leaves) continue;
      if (on_move) on_move(*task, at);
      state_.Stop(*task, at.now);
    }
  }
}

bool rebalancer::MayMove(const task_state& task, moment at) const {
  const schema::fleet_step& spec = task.Spec();
  // With an adviser, another executor may have to be requested first.
  if (state_.IsAdvised(*task.job)) return false;
  return spec.fills() && !spec.gang() && !task.job->Final() &&
         task.Phase() == task_phase::kRunning &&
         task.pace_percent < options_.slow_percent &&
         at.now - task.confirmed >= options_.min_run_age &&
         (spec.checkpointing() || task.percent <= options_.max_lost_percent);
}

}  // namespace waxwingfront::fleet
