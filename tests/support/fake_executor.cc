#include "support/fake_executor.h"

#include <algorithm>

namespace waxwingfront::tests {

using fleet::start_outcome;

bool fake_executor::AcceptsToken(std::int64_t token) {
  if (token < token_) return false;
  token_ = token;
  return true;
}

start_outcome fake_executor::Start(const fleet::start_order& order,
                                   std::int64_t token, std::int64_t deadline_ms,
                                   std::int64_t now_ms) {
  if (!AcceptsToken(token)) return start_outcome::kFenced;
  if (deadline_ms <= now_ms) return start_outcome::kDeadlinePassed;
  deadline_ms_ = std::max(deadline_ms_, deadline_ms);
  const auto finished = highest_finished_run_.find(order.task);
  if (finished != highest_finished_run_.end() &&
      order.run <= finished->second) {
    return start_outcome::kStaleRun;
  }
  const auto found = running_.find(order.task);
  if (found != running_.end()) {
    return found->second.run == order.run ? start_outcome::kAccepted
                                          : start_outcome::kStaleRun;
  }
  running_[order.task] = {.run = order.run, .begun_ms = now_ms};
  return start_outcome::kAccepted;
}

bool fake_executor::Stop(const fleet::stop_order& order, std::int64_t token,
                         std::int64_t now_ms) {
  (void)now_ms;
  if (!AcceptsToken(token)) return false;
  std::uint32_t& highest = highest_finished_run_[order.task];
  highest = std::max(highest, order.run);
  const auto found = running_.find(order.task);
  if (found != running_.end() && found->second.run <= order.run) {
    End(order.task, fleet::run_end::kStopped);
  }
  return true;
}

bool fake_executor::Hold(std::int64_t token, std::uint64_t acknowledged,
                         std::int64_t deadline_ms, std::int64_t now_ms,
                         fleet::hold_report& report) {
  if (!AcceptsToken(token)) return false;
  Tick(now_ms);
  deadline_ms_ = std::max(deadline_ms_, deadline_ms);
  std::erase_if(ended_, [acknowledged](const fleet::ended_report& end) {
    return end.number <= acknowledged;
  });
  report = {.born_ms = born_ms_, .clock_ms = now_ms, .ended = ended_};
  for (const auto& [task, live] : running_) {
    report.running.push_back({.task = task,
                              .run = live.run,
                              .checkpoint = {},
                              .percent = live.percent});
  }
  return true;
}

void fake_executor::Tick(std::int64_t now_ms) {
  if (now_ms <= deadline_ms_) return;
  while (!running_.empty()) {
    End(running_.begin()->first, fleet::run_end::kLapsed);
  }
  lapsed_through_ = last_number_;
}

void fake_executor::End(const fleet::task_ref& task, fleet::run_end how) {
  const auto found = running_.find(task);
  if (found == running_.end()) return;
  std::uint32_t& highest = highest_finished_run_[task];
  highest = std::max(highest, found->second.run);
  ended_.push_back({.number = ++last_number_,
                    .task = task,
                    .run = found->second.run,
                    .how = how,
                    .checkpoint = {}});
  running_.erase(found);
}

void fake_executor::Restart(std::int64_t now_ms) {
  *this = fake_executor(id_, now_ms);
}

}  // namespace waxwingfront::tests
