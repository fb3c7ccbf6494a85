#include "waxwingfront/fleet/rebalancer.h"

#include <algorithm>
#include <vector>

namespace waxwingfront::fleet {

void rebalancer::Run(moment at) {
  if (at.now < next_) return;
  next_ = at.now + options_.period;
  std::vector<task_state*> slow;
  for (auto& [id, executor] : state_.executors) {
    if (executor.info.draining) Evacuate(executor, at);
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

void rebalancer::Evacuate(executor_state& executor, moment at) {
  const std::vector<task_state*> active = executor.active;
  for (task_state* const task : active) {
    if (!task->Spec().long_running() || task->Phase() != task_phase::kRunning) {
      continue;
    }
    if (on_move) on_move(*task, at);
    state_.Stop(*task, at.now);
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
