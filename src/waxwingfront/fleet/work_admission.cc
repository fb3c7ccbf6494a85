#include "waxwingfront/fleet/work_admission.h"

#include <algorithm>
#include <cmath>

namespace waxwingfront::fleet {
namespace {

using fractional_ms = std::chrono::duration<double, std::milli>;

// Slowest rate that is assumed, so that times stay within the clock's range.
constexpr double kMinRate = 0.001;

}  // namespace

work_level& work_level::operator+=(const work_level& other) {
  jobs += other.jobs;
  waiting += other.waiting;
  running += other.running;
  working += other.working;
  standing += other.standing;
  return *this;
}

void work_admission::OnDone(const work_kind& kind, core::milliseconds estimated,
                            core::monotonic_time now) {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) return;
  Decay(found->second, now);
  found->second.done_ms += fractional_ms(estimated).count();
}

void work_admission::UpdateQueues(const work_sample& sample,
                                  core::monotonic_time now) {
  if (sampled_at_ && now - *sampled_at_ > options_.max_sample_gap) {
    queues_.clear();
  }
  std::map<std::string, work_level> levels;
  for (const auto& [kind, level] : sample) levels[kind.queue] += level;
  std::erase_if(queues_, [&levels](const auto& entry) {
    return !levels.contains(entry.first);
  });
  for (const auto& [name, level] : levels) {
    queue_state& queue = queues_[name];
    queue.level = level;
    const bool above =
        queue.level.standing > options_.queue_limit * queue.level.working;
    if (above) {
      queue.below_since.reset();
      if (!queue.above_since) queue.above_since = now;
      queue.overloaded |= now - *queue.above_since >= options_.overload_time;
    } else {
      queue.above_since.reset();
      if (!queue.below_since) queue.below_since = now;
      queue.overloaded &= now - *queue.below_since < options_.recovery_time;
    }
  }
}

void work_admission::SetSample(const work_sample& sample,
                               core::monotonic_time now) {
  UpdateQueues(sample, now);
  sampled_at_ = now;
  std::erase_if(kinds_, [&sample](const auto& entry) {
    return !sample.contains(entry.first);
  });
  for (const auto& [kind, level] : sample) {
    const auto [entry, added] = kinds_.try_emplace(kind);
    kind_state& state = entry->second;
    if (added) state.first_seen = state.decayed_at = now;
    state.level = level;
    if (level.standing > options_.kind_limit * level.working) {
      state.congested_at = now;
    }
  }
}

std::optional<work_refusal> work_admission::Admit(const work_request& job,
                                                  core::monotonic_time now) {
  const auto found = kinds_.find(job.kind);
  if (found == kinds_.end()) return std::nullopt;
  kind_state& kind = found->second;
  Decay(kind, now);
  const queue_state& queue = queues_.at(job.kind.queue);
  const bool congested = queue.overloaded && kind.congested_at &&
                         now - *kind.congested_at < options_.congestion_memory;
  const double standing = kind.level.standing + kind.accepted_tasks;
  if (!congested || standing <= options_.kind_limit * kind.level.working) {
    kind.accepted_tasks += static_cast<double>(job.first_tasks);
    return std::nullopt;
  }
  return work_refusal{.kind = job.kind,
                      .level = kind.level,
                      .queue_level = queue.level,
                      .accepted_tasks = kind.accepted_tasks,
                      .rate = Rate(kind, now),
                      .retry_after = RetryAfter(kind, job.work, now)};
}

void work_admission::Decay(kind_state& kind, core::monotonic_time now) const {
  const fractional_ms elapsed = now - kind.decayed_at;
  kind.accepted_tasks *=
      std::exp(-elapsed / fractional_ms(options_.accepted_memory));
  kind.done_ms *= std::exp(-elapsed / fractional_ms(options_.rate_memory));
  kind.decayed_at = now;
}

double work_admission::Rate(const kind_state& kind,
                            core::monotonic_time now) const {
  const double memory_ms = fractional_ms(options_.rate_memory).count();
  const double seen_ms = fractional_ms(now - kind.first_seen).count();
  const double measured_ms = memory_ms * -std::expm1(-seen_ms / memory_ms);
  return measured_ms <= 0.0 ? kMinRate
                            : std::max(kMinRate, kind.done_ms / measured_ms);
}

// Rejected callers return one after the other, in the order of their calls, at
// the rate at which work of the kind is completed.
core::milliseconds work_admission::RetryAfter(kind_state& kind,
                                              core::milliseconds work,
                                              core::monotonic_time now) const {
  const core::monotonic_time latest = now + options_.max_retry;
  const fractional_ms wait =
      std::min(fractional_ms(options_.max_retry), work / Rate(kind, now));
  kind.last_return =
      std::min(latest, std::max(now, kind.last_return) +
                           std::chrono::ceil<core::milliseconds>(wait));
  return std::clamp(
      std::chrono::ceil<core::milliseconds>(kind.last_return - now),
      options_.min_retry, options_.max_retry);
}

}  // namespace waxwingfront::fleet
