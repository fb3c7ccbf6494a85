#include "waxwingfront/fleet/executor_state.h"

#include <algorithm>
#include <utility>

namespace waxwingfront::fleet {
namespace {

using std::chrono::duration_cast;

// Rounding of both clocks to milliseconds.
constexpr std::int64_t kRoundingMs = 2;

std::int64_t ElapsedMs(core::monotonic_time from, core::monotonic_time to) {
  return duration_cast<core::milliseconds>(to - from).count();
}

// True for an interrupted long-running task that has not failed: its failures
// do not count, and it stands still for longer while it waits for a healthy
// executor than it loses by a failure.
bool ToleratesFailures(const task_state& task) {
  return task.Spec().long_running() && task.run > 0 && task.failed_on.empty();
}

}  // namespace

std::int64_t EarliestClock(const clock_sample& sample,
                           core::monotonic_time now) {
  const double elapsed =
      static_cast<double>(ElapsedMs(sample.received, now)) * kMinClockRate;
  return sample.clock_ms + static_cast<std::int64_t>(elapsed);
}

std::int64_t LatestClock(const clock_sample& sample, core::monotonic_time now) {
  return sample.clock_ms + ElapsedMs(sample.sent, now) + kRoundingMs;
}

core::monotonic_time LatestTimeOf(const clock_sample& sample,
                                  std::int64_t deadline_ms) {
  const std::int64_t remaining_ms =
      std::max<std::int64_t>(0, deadline_ms + kRoundingMs - sample.clock_ms);
  const auto elapsed = core::milliseconds(remaining_ms) / kMinClockRate;
  return sample.received + std::chrono::ceil<core::milliseconds>(elapsed);
}

bool DefinitelyPast(const clock_sample& sample, std::int64_t deadline_ms,
                    core::monotonic_time now) {
  return EarliestClock(sample, now) > deadline_ms + kRoundingMs;
}

bool executor_state::HasLabel(std::string_view label) const {
  return std::ranges::find(info.labels, label) != info.labels.end();
}

bool executor_state::Available(core::monotonic_time now) const {
  return registered && reached && in_contact && MatchesEntry() &&
         !info.draining && now >= avoid_until;
}

bool executor_state::Usable(core::monotonic_time now) const {
  return Available(now) && now >= unhealthy_until;
}

std::optional<core::milliseconds> executor_state::StaysFor(
    core::monotonic_time now) const {
  if (!clock || !MatchesEntry()) return std::nullopt;
  if (info.leaves_at_ms == 0) return core::milliseconds(0);
  return core::milliseconds(
      std::max<std::int64_t>(0, info.leaves_at_ms - LatestClock(*clock, now)));
}

bool executor_state::NeedsHold() const {
  if (info.address.empty()) return false;
  return !reached || !in_contact || restart_expected || !active.empty() ||
         processed > acknowledged;
}

bool executor_state::HealthPermits(const task_state& task,
                                   core::monotonic_time now) const {
  if (ToleratesFailures(task)) return true;
  if (now < unhealthy_until) return false;
  if (!peers_are_healthy || !health.IsSuspect(now)) return true;
  if (task.failures > 0) return false;
  return std::ranges::none_of(active, [this](const task_state* other) {
    return other->placed_at >= health.LastFailure();
  });
}

bool executor_state::MayStart(const task_state& task,
                              core::monotonic_time now) const {
  return ToleratesFailures(task) ? Available(now) : Usable(now);
}

core::monotonic_time executor_state::LeaseEnd() const {
  return reached && clock ? LatestTimeOf(*clock, deadline_sent_ms)
                          : unreached_expiry;
}

bool executor_state::AllLeasesExpired(core::monotonic_time now) const {
  if (!reached) return now > unreached_expiry;
  return clock && DefinitelyPast(*clock, deadline_sent_ms, now);
}

bool executor_state::BeginRound(std::uint64_t round, core::monotonic_time now) {
  const bool available = Available(now);
  const bool usable = Usable(now);
  const job_state* const reserved =
      now < reserved_until ? reserved_for : nullptr;
  const bool suspect = peers_are_healthy && health.IsSuspect(now);
  if (!touched && available == was_available_ && usable == was_usable_ &&
      suspect == was_suspect_ && reserved == was_reserved_for_) {
    return false;
  }
  touched = false;
  was_available_ = available;
  was_usable_ = usable;
  was_suspect_ = suspect;
  was_reserved_for_ = reserved;
  changed_round = round;
  return true;
}

bool executor_state::OnlyLongRunning() const {
  return long_running_count == active.size();
}

bool executor_state::SharesProcessors() const {
  const auto fills = [](const task_state* task) {
    return task->Spec().fills();
  };
  const auto serves = [](const task_state* task) {
    return task->Spec().target_ms() > 0;
  };
  return std::ranges::any_of(active, fills) &&
         std::ranges::any_of(active, serves);
}

bool executor_state::HasCapacityFor(const task_state& task) const {
  const core::resources needs = task.Needs();
  if (!Free().Holds(needs)) return false;
  core::resources withheld;
  for (const capacity_reservation& reservation : reservations_) {
    // Reserved tasks do not wait for each other: what the next one needs
    // becomes free after this one has started.
    if (reservation.step == task.spec) return true;
    if (!reservation.open_to_short_tasks) withheld += reservation.amount;
  }
  return Free().Holds(needs + withheld) &&
         (!task.Spec().long_running() ||
          EventuallyFree().Holds(needs + Reserved()));
}

std::ptrdiff_t executor_state::ReservedFor(
    const schema::fleet_step* step) const {
  return std::ranges::count_if(
      reservations_, [step](const capacity_reservation& reservation) {
        return reservation.step == step && !reservation.open_to_short_tasks;
      });
}

core::resources executor_state::Reserved() const {
  core::resources sum;
  for (const capacity_reservation& reservation : reservations_) {
    sum += reservation.amount;
  }
  return sum;
}

void executor_state::SetReservations(
    std::vector<capacity_reservation> reservations) {
  if (reservations == reservations_) return;
  reservations_ = std::move(reservations);
  Touch();
}

void executor_state::UseReservation(const task_state& task) {
  const auto found =
      std::ranges::find(reservations_, task.spec, &capacity_reservation::step);
  if (found != reservations_.end()) reservations_.erase(found);
}

void executor_state::Add(task_state& task) {
  Touch();
  active.push_back(&task);
  used += task.Needs();
  if (!task.Spec().long_running()) return;
  ++long_running_count;
  used_by_long_running += task.Needs();
}

void executor_state::Remove(const task_state& task) {
  const auto found = std::ranges::find(active, &task);
  if (found == active.end()) return;
  Touch();
  active.erase(found);
  used -= task.Needs();
  if (!task.Spec().long_running()) return;
  --long_running_count;
  used_by_long_running -= task.Needs();
}

}  // namespace waxwingfront::fleet
