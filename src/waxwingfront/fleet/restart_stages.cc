#include "waxwingfront/fleet/restart_stages.h"

namespace waxwingfront::fleet {

bool restart_stages::Counts(const task_state& task) {
  return task.run > 1 && task.Spec().long_running();
}

void restart_stages::Report(load_stage stage, core::monotonic_time since,
                            core::monotonic_time until) const {
  if (on_stage) on_stage(stage, until - since);
}

void restart_stages::OnPlaced(const task_state& task) const {
  if (!Counts(task) || !task.end_seen) return;
  Report(load_stage::kRestartWait, task.waiting_since, task.placed_at);
}

void restart_stages::OnStartable(task_state& task,
                                 core::monotonic_time now) const {
  const bool reported = task.startable_at >= task.placed_at;
  if (!Counts(task) || reported) return;
  task.startable_at = now;
  task.start_sent_at = {};
  Report(load_stage::kRestartStore, task.placed_at, now);
}

void restart_stages::OnSendDecided(const start_order& order,
                                   core::monotonic_time now) const {
  if (!order.long_running) return;
  task_state* const task = state_.FindTask(order.task);
  if (task == nullptr || task->run != order.run || !Counts(*task)) return;
  task->start_sent_at = now;
  Report(load_stage::kRestartSend, task->startable_at, now);
}

void restart_stages::OnBegun(task_state& task, core::monotonic_time now) const {
  const bool sent_here = task.start_sent_at != core::monotonic_time{};
  if (!Counts(task) || !sent_here) return;
  Report(load_stage::kRestartConfirm, task.start_sent_at, now);
  task.start_sent_at = {};
}

}  // namespace waxwingfront::fleet
