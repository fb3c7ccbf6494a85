#include "support/fleet_invariants.h"

#include <algorithm>
#include <utility>

namespace waxwingfront::tests {

void fleet_invariants::OnStart(
    const fleet::start_order& order,
    const std::optional<schema::fleet_progress>& progress,
    std::int64_t now_ms) {
  CheckEnds(order, now_ms);
  if (!progress) {
    violations_.emplace_back("a task started before its record was stored");
    return;
  }
  const fleet::task_ref counted = CountedTask(order.task);
  std::uint32_t first_done = 0;
  for (const schema::fleet_task& task : progress->tasks()) {
    if (task.step() == 0 && task.succeeded()) ++first_done;
    if (task.step() != order.task.step) continue;
    if (task.index() == counted.index &&
        task.failures() >= static_cast<std::uint32_t>(options_.max_attempts)) {
      violations_.emplace_back(
          "a task started more often than its attempts allow");
    }
    if (task.index() != order.task.index) continue;
    if (task.succeeded()) {
      violations_.emplace_back("a task started after its end was stored");
    }
    if (task.run() < order.run) {
      violations_.emplace_back("a run started before it was stored");
    }
  }
  if (order.task.step == 1 && first_done < options_.first_step_tasks) {
    violations_.emplace_back(
        "a task started before the step that it depends on had completed");
  }
}

fleet::task_ref fleet_invariants::CountedTask(fleet::task_ref task) const {
  if (options_.second_step_is_gang && task.step == 1) task.index = 0;
  return task;
}

void fleet_invariants::CheckEnds(const fleet::start_order& order,
                                 std::int64_t now_ms) {
  const auto drain = drains_.find(order.executor);
  if (drain != drains_.end() && now_ms > drain->second + options_.drain_ms) {
    violations_.push_back(
        "a task started " + std::to_string(now_ms - drain->second) +
        " ms after " + order.executor + " was reported draining");
  }
  const auto done = done_.find(order.task);
  if (done != done_.end() &&
      now_ms > done->second.at_ms + options_.end_grace_ms) {
    violations_.emplace_back("a task started after its end was reported");
  }
}

void fleet_invariants::OnEndsReported(const fake_executor& executor,
                                      const fleet::hold_report& report,
                                      std::int64_t now_ms) {
  if (options_.end_grace_ms == 0) return;
  for (const fleet::ended_report& end : report.ended) {
    // An end before the lease last lapsed does not count.
    if (end.how != fleet::run_end::kDone ||
        end.number <= executor.LapsedThrough()) {
      continue;
    }
    done_.try_emplace(end.task,
                      reported_end{.executor = executor.Id(), .at_ms = now_ms});
  }
}

void fleet_invariants::OnEndForgotten(
    const fake_executor& executor, const fleet::ended_report& end,
    const std::optional<schema::fleet_progress>& progress) {
  // An end before the lease last lapsed does not count.
  if (end.number <= executor.LapsedThrough()) return;
  if (progress && progress->state() >= schema::FLEET_COMPLETED) return;
  const fleet::task_ref counted = CountedTask(end.task);
  bool succeeded = false;
  std::size_t failures = 0;
  if (progress) {
    for (const schema::fleet_task& task : progress->tasks()) {
      if (task.step() != end.task.step) continue;
      if (task.index() == end.task.index) succeeded = task.succeeded();
      if (task.index() == counted.index) failures = task.failures();
    }
  }
  if (end.how == fleet::run_end::kDone && !succeeded) {
    violations_.push_back(executor.Id() + " forgot a done end of " +
                          end.task.job + " that is not stored");
  }
  if (end.how != fleet::run_end::kFailed) return;
  std::set<std::uint32_t>& failed = forgotten_failures_[counted];
  failed.insert(end.run);
  if (!succeeded && failures < failed.size()) {
    violations_.push_back(executor.Id() + " forgot a failed end of " +
                          end.task.job + " that is not stored");
  }
}

void fleet_invariants::OnFailed(const fleet::task_ref& task,
                                std::uint32_t run) {
  failed_runs_[CountedTask(task)].insert(run);
}

void fleet_invariants::CheckFailed(const std::string& job,
                                   const schema::fleet_progress& progress) {
  if (progress.state() != schema::FLEET_FAILED) return;
  const bool has_cause =
      std::ranges::any_of(failed_runs_, [&](const auto& entry) {
        return entry.first.job == job &&
               std::cmp_greater_equal(entry.second.size(),
                                      options_.max_attempts);
      });
  if (!has_cause) {
    violations_.push_back(job + " failed with attempts left");
  }
}

void fleet_invariants::OnDrainReported(const std::string& executor,
                                       std::int64_t now_ms) {
  drains_.try_emplace(executor, now_ms);
}

void fleet_invariants::OnRestart(const std::string& executor) {
  drains_.erase(executor);
  std::erase_if(done_, [&executor](const auto& entry) {
    return entry.second.executor == executor;
  });
}

void fleet_invariants::Check(const std::vector<fake_executor>& executors) {
  std::map<fleet::task_ref, int> running;
  for (const fake_executor& executor : executors) {
    for (const auto& [task, live] : executor.Running()) {
      if (++running[task] > 1) {
        violations_.push_back("task " + task.job + " step " +
                              std::to_string(task.step) +
                              " runs on two executors");
      }
    }
  }
}

}  // namespace waxwingfront::tests
