#include "waxwingfront/fleet/order_deadlines.h"

#include <algorithm>

namespace waxwingfront::fleet {
namespace {

using std::chrono::duration_cast;

// Rounding of clocks, and the executor's own time to begin a task.
constexpr core::milliseconds kStartMargin{100};
// A start with less time than this would arrive too late: the slowest links
// take 20 ms.
constexpr core::milliseconds kLeastReach{100};
// An executor that crashes is not back under its id sooner.
constexpr core::milliseconds kRestartTime{2000};
// Part of the drain bound that the entries may be old when work is placed; the
// rest is for storing the placement and sending the start.
constexpr double kPlacingShare = 0.6;

std::int64_t Send(executor_state& executor, core::milliseconds reach,
                  core::monotonic_time now) {
  const std::int64_t deadline_ms =
      EarliestClock(*executor.clock, now) + reach.count();
  executor.deadline_sent_ms = std::max(executor.deadline_sent_ms, deadline_ms);
  return deadline_ms;
}

}  // namespace

std::optional<std::int64_t> order_deadlines::ForHold(
    executor_state& executor, core::monotonic_time now) const {
  // Without contact the lease is left to lapse: were it extended by holds that
  // may or may not arrive, its end would never be known.
  if (!executor.reached || !executor.clock || !executor.in_contact) {
    return std::nullopt;
  }
  return Send(executor, options_.hold_reach, now);
}

std::optional<std::int64_t> order_deadlines::ForStart(
    const start_order& order, core::monotonic_time now) const {
  const task_state* const task = state_.FindTask(order.task);
  executor_state* const executor = state_.FindExecutor(order.executor);
  const bool current =
      task != nullptr && task->phase == task_phase::kStarting &&
      task->run == order.run && task->executor == order.executor;
  if (!current || task->job->Final() || executor == nullptr ||
      !executor->clock || !executor->registered || executor->info.draining) {
    return std::nullopt;
  }
  const core::milliseconds reach = StartReach(now);
  if (reach < kLeastReach) return std::nullopt;
  if (now - executor->clock->sent > kRestartTime)
    executor->incarnation_uncertain_since = now;
  return Send(*executor, reach, now);
}

bool order_deadlines::MayPlace(core::monotonic_time now) const {
  return !state_.entries_as_of ||
         now - *state_.entries_as_of <= options_.drain_bound * kPlacingShare;
}

core::milliseconds order_deadlines::StartReach(core::monotonic_time now) const {
  const core::monotonic_time as_of = state_.entries_as_of.value_or(now);
  const auto left = as_of + options_.drain_bound - kStartMargin - now;
  return duration_cast<core::milliseconds>(left * kMinClockRate);
}

}  // namespace waxwingfront::fleet
