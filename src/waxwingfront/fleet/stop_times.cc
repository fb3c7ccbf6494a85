#include "waxwingfront/fleet/stop_times.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace waxwingfront::fleet {
namespace {

core::milliseconds Between(core::monotonic_time from, core::monotonic_time to) {
  return std::chrono::duration_cast<core::milliseconds>(to - from);
}

bool WasRunning(const task_state& task) {
  return task.stop_ordered_at != core::monotonic_time{};
}

}  // namespace

void moving_duration::Record(core::milliseconds taken, double weight) {
  const auto value = static_cast<double>(taken.count());
  if (empty_) {
    empty_ = false;
    mean_ms_ = value;
    deviation_ms_ = value / 2;
    return;
  }
  deviation_ms_ += weight * (std::abs(value - mean_ms_) - deviation_ms_);
  mean_ms_ += weight * (value - mean_ms_);
}

void stop_times::RecordRoundTrip(core::milliseconds taken) {
  round_trips_.Record(taken, options_.smoothing_factor);
}

void stop_times::OnConfirmed(executor_state& executor, const task_state& task,
                             core::monotonic_time now) {
  if (WasRunning(task)) RecordTurn(executor, task, now);
}

void stop_times::OnEnded(executor_state& executor, const task_state& task,
                         run_outcome outcome, core::monotonic_time now) {
  if (!WasRunning(task) || outcome != run_outcome::kStopped) return;
  if (!task.stop_confirmed) RecordTurn(executor, task, now);
  const core::monotonic_time confirmed =
      task.stop_confirmed ? task.stop_confirmed_at : now;
  ends_.Record(Between(confirmed, now), options_.smoothing_factor);
}

void stop_times::RecordTurn(executor_state& executor, const task_state& task,
                            core::monotonic_time now) {
  const core::monotonic_time began =
      std::max(task.stop_ordered_at, executor.last_stop_turn);
  turns_.Record(Between(began, now), options_.smoothing_factor);
  executor.last_stop_turn = now;
}

core::milliseconds stop_times::LeadFor(std::size_t stops) const {
  const auto count = static_cast<double>(stops);
  const bool turns_known = turns_.MeanMs() >= round_trips_.MeanMs();
  const moving_duration& turn = turns_known ? turns_ : round_trips_;
  const double end_ms = ends_.Empty()
                            ? static_cast<double>(options_.min_lead.count())
                            : ends_.MeanMs();
  const double deviation_ms =
      std::sqrt(std::pow(ends_.DeviationMs(), 2) +
                count * std::pow(turn.DeviationMs(), 2));
  const double lead_ms =
      end_ms + count * turn.MeanMs() + options_.deviations * deviation_ms;
  return std::clamp(
      core::milliseconds(static_cast<std::int64_t>(std::ceil(lead_ms))),
      options_.min_lead, options_.max_lead);
}

}  // namespace waxwingfront::fleet
