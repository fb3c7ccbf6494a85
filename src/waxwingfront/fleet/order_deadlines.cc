#include "waxwingfront/fleet/order_deadlines.h"

#include <algorithm>

namespace waxwingfront::fleet {
namespace {

using std::chrono::duration_cast;

// Covers the rounding of clocks and the executor's own time to begin a task.
constexpr core::milliseconds kStartMargin{100};
// A start that is valid for less than this would arrive too late: the slowest
// links take 20 ms.
constexpr core::milliseconds kMinStartValidity{100};
// Maximum age of the entries when work is placed, as a share of the drain
// bound; the rest is for storing the placement and sending the start.
constexpr double kPlacementShare = 0.6;

std::int64_t RecordDeadline(executor_state& executor,
                            core::milliseconds validity,
                            core::monotonic_time now) {
  const std::int64_t deadline_ms =
      EarliestClock(*executor.clock, now) + validity.count();
  executor.deadline_sent_ms = std::max(executor.deadline_sent_ms, deadline_ms);
  return deadline_ms;
}

}  // namespace

std::optional<std::int64_t> order_deadlines::ForHold(
    executor_state& executor, core::monotonic_time now) const {
  // Without contact the lease is left to lapse, because its end would never be
  // known if holds that may or may not arrive extended it. After a long time
  // without holds, the deadline might be on the clock of an earlier
  // incarnation.
  if (!executor.reached || !executor.clock || !executor.in_contact ||
      now - executor.clock->received >= kMinRestartTime) {
    return std::nullopt;
  }
  const core::milliseconds lease = LongestLease(executor, now);
  if (lease.count() <= 0) return std::nullopt;
  return RecordDeadline(executor, lease, now);
}

executor_state* order_deadlines::ExecutorOf(const start_order& order) const {
  const task_state* const task = state_.FindTask(order.task);
  const bool current =
      task != nullptr && task->Phase() == task_phase::kStarting &&
      task->run == order.run && task->executor == order.executor;
  return current && !task->job->Final() ? state_.FindExecutor(order.executor)
                                        : nullptr;
}

bool order_deadlines::AwaitsHold(const start_order& order,
                                 core::monotonic_time now) const {
  const executor_state* const executor = ExecutorOf(order);
  return executor != nullptr && executor->in_contact &&
         !executor->HeldRecently(now);
}

bool order_deadlines::MayStart(const start_order& order,
                               core::monotonic_time now) const {
  const executor_state* const executor = ExecutorOf(order);
  return executor != nullptr && executor->registered &&
         !executor->info.draining && executor->HeldRecently(now) &&
         executor->MatchesEntry();
}

std::optional<std::int64_t> order_deadlines::ForStart(
    const start_order& order, core::monotonic_time now) const {
  if (!MayStart(order, now)) return std::nullopt;
  executor_state* const executor = ExecutorOf(order);
  const core::milliseconds validity =
      std::min(StartValidity(now), LongestLease(*executor, now));
  if (validity < kMinStartValidity) return std::nullopt;
  return RecordDeadline(*executor, validity, now);
}

bool order_deadlines::MayPlace(core::monotonic_time now) const {
  const bool entries_current =
      !state_.entries_as_of ||
      now - *state_.entries_as_of <= options_.drain_bound * kPlacementShare;
  return entries_current && leases_.AnyStored();
}

core::milliseconds order_deadlines::LongestLease(
    const executor_state& executor, core::monotonic_time now) const {
  const auto limit = leases_.Limit(executor.info.id);
  if (!limit) return core::milliseconds(0);
  const auto lease =
      duration_cast<core::milliseconds>((*limit - now) * kMinClockRate);
  return std::min(lease, options_.hold_lease);
}

core::milliseconds order_deadlines::StartValidity(
    core::monotonic_time now) const {
  const core::monotonic_time as_of = state_.entries_as_of.value_or(now);
  const auto remaining = as_of + options_.drain_bound - kStartMargin - now;
  return duration_cast<core::milliseconds>(remaining * kMinClockRate);
}

}  // namespace waxwingfront::fleet
