#include "waxwingfront/fleet/start_admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "waxwingfront/fleet/link_speed.h"

namespace waxwingfront::fleet {
namespace {

using fractional_ms = std::chrono::duration<double, std::milli>;

// Slowest rate that is assumed, so that times stay within the clock's range.
constexpr double kMinBytesPerMs = 1.0;

bool Precedes(const pending_starts& left, const pending_starts& right) {
  return std::tie(left.priority, left.due) <=
         std::tie(right.priority, right.due);
}

core::milliseconds TimeFor(std::size_t bytes, double bytes_per_ms) {
  return std::chrono::ceil<core::milliseconds>(
      fractional_ms(static_cast<double>(bytes) / bytes_per_ms));
}

}  // namespace

void start_admission::OnPlaced(start_rank rank, std::size_t bytes) {
  measured_bytes_[rank] += static_cast<double>(bytes);
}

void start_admission::Observe(bool congested, core::monotonic_time now) {
  if (observed_at_ && was_congested_ && congested) {
    const double elapsed_ms = fractional_ms(now - *observed_at_).count();
    const double kept = std::exp(
        -elapsed_ms / static_cast<double>(options_.rate_memory.count()));
    measured_ms_ = measured_ms_ * kept + elapsed_ms;
    for (auto& [rank, bytes] : measured_bytes_) bytes *= kept;
  } else if (!IsCongested(now)) {
    measured_bytes_.clear();
    measured_ms_ = 0.0;
  }
  observed_at_ = now;
  was_congested_ = congested;
  if (congested) congested_at_ = now;
}

bool start_admission::IsCongested(core::monotonic_time now) const {
  return options_.link_mbps > 0.0 && congested_at_ &&
         now - *congested_at_ < options_.congestion_memory;
}

void start_admission::SetBacklog(std::vector<pending_starts> backlog,
                                 core::monotonic_time now) {
  backlog_ = std::move(backlog);
  std::ranges::stable_sort(backlog_, [](const auto& left, const auto& right) {
    return std::tie(left.priority, left.due) <
           std::tie(right.priority, right.due);
  });
  sampled_at_ = now;
}

double start_admission::Rate() const {
  const double link = static_cast<double>(
      BytesOnLink(options_.link_mbps, core::milliseconds(1)).value_or(0));
  if (measured_ms_ < static_cast<double>(options_.min_measured_time.count())) {
    return std::max(kMinBytesPerMs, link);
  }
  double bytes = 0.0;
  for (const auto& [rank, placed] : measured_bytes_) bytes += placed;
  return std::max(kMinBytesPerMs, std::min(link, bytes / measured_ms_));
}

double start_admission::RateFor(start_rank rank) const {
  if (measured_ms_ < static_cast<double>(options_.min_measured_time.count())) {
    return Rate();
  }
  double higher = 0.0;
  double all = 0.0;
  for (const auto& [other, placed] : measured_bytes_) {
    all += placed;
    if (other < rank) higher += placed;
  }
  if (all <= 0.0) return Rate();
  return std::max(kMinBytesPerMs, Rate() * (1.0 - higher / all));
}

std::size_t start_admission::BytesAhead(const pending_starts& job,
                                        start_rank rank) const {
  const core::monotonic_time latest =
      rank.late ? job.latest_useful : job.latest_timely;
  const double rate = RateFor(rank);
  std::size_t bytes = 0;
  for (const pending_starts& other : backlog_) {
    if (!Precedes(other, job)) break;
    if (other.earliest > latest) continue;
    const bool timely = *sampled_at_ <= other.latest_timely;
    if (!rank.late && !timely && other.priority == job.priority) continue;
    // A job that becomes useless before it is served is passed over.
    if (*sampled_at_ + TimeFor(bytes + other.bytes, rate) >
        other.latest_useful) {
      continue;
    }
    bytes += other.bytes;
  }
  return bytes;
}

core::monotonic_time start_admission::LastStart(
    const pending_starts& job, start_rank rank,
    core::monotonic_time now) const {
  const double rate = RateFor(rank);
  // The backlog has been served since it was sampled.
  return std::max(
      now + TimeFor(job.bytes, rate),
      *sampled_at_ + TimeFor(BytesAhead(job, rank) + job.bytes, rate));
}

std::optional<start_refusal> start_admission::Admit(const pending_starts& job,
                                                    core::monotonic_time now) {
  if (!IsCongested(now) || !sampled_at_) return std::nullopt;
  const start_rank timely{.priority = job.priority, .late = false};
  const start_rank late{.priority = job.priority, .late = true};
  const auto time_left = std::chrono::duration_cast<core::milliseconds>(
      (job.latest_timely - now) * options_.timely_share);
  const bool is_timely = LastStart(job, timely, now) <= now + time_left;
  const core::monotonic_time last_start = LastStart(job, late, now);
  if (is_timely || last_start <= job.latest_useful) {
    backlog_.insert(std::ranges::find_if(backlog_,
                                         [&job](const pending_starts& other) {
                                           return !Precedes(other, job);
                                         }),
                    job);
    return std::nullopt;
  }
  return start_refusal{
      .bytes_ahead = BytesAhead(job, late),
      .bytes = job.bytes,
      .bytes_per_ms = RateFor(late),
      .wait = std::chrono::ceil<core::milliseconds>(last_start - now),
      .max_wait =
          std::chrono::floor<core::milliseconds>(job.latest_useful - now),
      .retry_after = RetryAfter(job.bytes, now)};
}

// Rejected callers return one after the other, in the order of their calls, at
// the rate at which the link could serve them once the backlog has drained.
core::milliseconds start_admission::RetryAfter(std::size_t bytes,
                                               core::monotonic_time now) {
  std::size_t backlog = 0;
  for (const pending_starts& other : backlog_) backlog += other.bytes;
  const core::monotonic_time drained =
      std::max(now, *sampled_at_ + TimeFor(backlog, Rate()));
  const core::monotonic_time latest = now + options_.max_retry;
  last_return_ = std::min(
      latest, std::max(drained, last_return_) + TimeFor(bytes, Rate()));
  return std::clamp(std::chrono::ceil<core::milliseconds>(last_return_ - now),
                    options_.min_retry, options_.max_retry);
}

}  // namespace waxwingfront::fleet
