#include "simulated_executors.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwingfront::fleet {
namespace {

constexpr double kBaseTailLatencyMs = 4.0;
constexpr double kMillisPerCore = 1000.0;
constexpr std::size_t kBestEffortClass = 1;
constexpr std::size_t kLongRunningClass = 2;

}  // namespace

simulated_executors::simulated_executors(std::mt19937& random) {
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  for (auto& row : interference_) {
    for (double& value : row) value = unit(random) < 0.5 ? 0.003 : 0.03;
  }
}

void simulated_executors::Add(const std::string& id,
                              std::int64_t last_hold_ms) {
  indexes_[id] = executors_.size();
  executors_.push_back({.id = id, .last_hold_ms = last_hold_ms});
}

std::size_t simulated_executors::CountRuns() const {
  std::size_t count = 0;
  for (const simulated_executor& executor : executors_) {
    count += executor.runs.size();
  }
  return count;
}

void simulated_executors::Advance(std::int64_t time_ms) {
  for (simulated_executor& executor : executors_) {
    std::erase_if(executor.runs, [&](simulated_run& task) {
      if (task.job_class_index == kLongRunningClass) return false;
      task.remaining_ms -= static_cast<double>(time_ms * task.pace) / kFullPace;
      if (task.remaining_ms > 0.0) return false;
      executor.ended.push_back(
          {.number = ++executor.ends,
           .task = task.order.task,
           .run = task.order.run,
           .how = task.fails ? run_end::kFailed : run_end::kDone});
      return true;
    });
  }
}

void simulated_executors::Stop(const stop_order& order) {
  const auto found = indexes_.find(order.executor);
  if (found == indexes_.end()) return;
  simulated_executor& executor = executors_[found->second];
  std::erase_if(executor.runs, [&](const simulated_run& task) {
    if (task.order.task != order.task || task.order.run != order.run) {
      return false;
    }
    executor.ended.push_back({.number = ++executor.ends,
                              .task = task.order.task,
                              .run = task.order.run,
                              .how = run_end::kStopped});
    return true;
  });
}

void simulated_executors::SetPace(const pace_order& order) {
  for (simulated_run& task : Of(order.executor).runs) {
    if (task.order.task == order.task) task.pace = order.percent;
  }
}

std::int64_t simulated_executors::TailLatency(
    const simulated_executor& executor, const simulated_run& task,
    std::int64_t now_ms) const {
  double used =
      0.42 + 0.2 * std::sin(static_cast<double>(now_ms) / 2200.0 + task.image);
  for (const simulated_run& other : executor.runs) {
    if (other.job_class_index != kBestEffortClass) continue;
    used += interference_.at(static_cast<std::size_t>(task.image))
                .at(static_cast<std::size_t>(other.image)) *
            other.cpu / kMillisPerCore * other.pace / kFullPace;
  }
  return std::lround(kBaseTailLatencyMs / std::max(0.04, 1.0 - used));
}

hold_report simulated_executors::Report(const simulated_executor& executor,
                                        std::int64_t now_ms) const {
  hold_report report{.born_ms = 1, .clock_ms = now_ms};
  for (const simulated_run& task : executor.runs) {
    running_report row{.task = task.order.task, .run = task.order.run};
    if (task.job_class_index == kLongRunningClass) {
      row.percent = 100;
      row.reported_load = TailLatency(executor, task, now_ms);
    } else {
      row.percent = static_cast<int>(
          100.0 * (1.0 - std::max(0.0, task.remaining_ms) / task.work_ms));
      row.reported_load = std::lround(task.cpu * task.pace / kFullPace);
      if (task.job_class_index == kBestEffortClass) {
        row.checkpoint = "checkpoint";
      }
    }
    report.running.push_back(std::move(row));
  }
  report.ended = executor.ended;
  return report;
}

}  // namespace waxwingfront::fleet
