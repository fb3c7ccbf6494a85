// Admission of short jobs while the starts of all jobs need more than the
// leader's link carries.
//
// Jobs then wait unplaced for the link. One whose first starts would be sent
// only when it can no longer end usefully is rejected at once: its caller can
// turn elsewhere or return when the backlog has drained.
#ifndef WAXWINGFRONT_FLEET_START_ADMISSION_H_
#define WAXWINGFRONT_FLEET_START_ADMISSION_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct start_admission_options {
  // Speed of the link in Mbit/s; 0 if it is unknown, in which case no job is
  // rejected.
  double link_mbps = 0.0;
  // Minimum time between two samples of the backlog, because each considers all
  // live jobs.
  core::milliseconds sample_period{500};
  // Jobs are rejected only if starts have had to wait for the link within this
  // time.
  core::milliseconds congestion_memory{1000};
  // Share of the time left for an end on time within which a job must start to
  // count as timely: the order of planning gives up jobs that start at its end.
  double timely_share = 0.8;
  // Time constant with which the measured rate of starts is forgotten.
  core::milliseconds rate_memory{2000};
  // Congested time after which the measured rate is used.
  core::milliseconds min_measured_time{1000};
  // Bounds on the time after which a rejected caller should return.
  core::milliseconds min_retry{1000};
  core::milliseconds max_retry{30'000};
};

// Order of planning: lower priorities first, timely jobs before late ones.
struct start_rank {
  int priority = 0;
  bool late = false;

  friend auto operator<=>(const start_rank&, const start_rank&) = default;
};

// Starts that one step of a job still needs.
struct pending_starts {
  // Lower values go first.
  int priority = 0;
  core::monotonic_time due;
  // Latest times of the last start for an end on time and for a useful end.
  core::monotonic_time latest_timely;
  core::monotonic_time latest_useful;
  // When the steps before it will be done at the earliest.
  core::monotonic_time earliest{};
  std::size_t bytes = 0;
};

// Why a job is rejected. The times count from the decision.
struct start_refusal {
  // Starts that would be sent before the last one of the job, and its own.
  std::size_t bytes_ahead = 0;
  std::size_t bytes = 0;
  double bytes_per_ms = 0.0;
  // When the last start would be sent, and the latest useful time for it; less
  // than zero if that has passed.
  core::milliseconds wait{0};
  core::milliseconds max_wait{0};
  core::milliseconds retry_after{0};
};

class start_admission {
 public:
  explicit start_admission(start_admission_options options)
      : options_(options) {}

  // Records the placement of a short task with a start of this size.
  void OnPlaced(start_rank rank, std::size_t bytes);
  // Records whether further short tasks wait for the link. Called after each
  // round.
  void Observe(bool congested, core::monotonic_time now);

  // True if the link is known and starts have had to wait for it lately.
  bool IsCongested(core::monotonic_time now) const;
  bool NeedsSample(core::monotonic_time now) const {
    return !sampled_at_ || now - *sampled_at_ >= options_.sample_period;
  }
  // Replaces the backlog by the starts that useful jobs need.
  void SetBacklog(std::vector<pending_starts> backlog,
                  core::monotonic_time now);

  // Returns why a new job with these first starts would be useless. Otherwise
  // adds them to the backlog, since the job will be accepted.
  std::optional<start_refusal> Admit(const pending_starts& job,
                                     core::monotonic_time now);

 private:
  // Bytes of starts per millisecond that the link carries.
  double Rate() const;
  // The part of it that jobs of higher ranks leave.
  double RateFor(start_rank rank) const;
  // Returns when the last start of `job` would be sent if only jobs of this
  // rank and higher ones go before it.
  core::monotonic_time LastStart(const pending_starts& job, start_rank rank,
                                 core::monotonic_time now) const;
  // Returns the bytes sent before `job`.
  std::size_t BytesAhead(const pending_starts& job, start_rank rank) const;
  core::milliseconds RetryAfter(std::size_t bytes, core::monotonic_time now);

  start_admission_options options_;
  // In the order of planning.
  std::vector<pending_starts> backlog_;
  std::optional<core::monotonic_time> sampled_at_;
  std::optional<core::monotonic_time> observed_at_;
  std::optional<core::monotonic_time> congested_at_;
  bool was_congested_ = false;
  // Bytes placed by rank, and their time; sums over congested times, which
  // decay.
  std::map<start_rank, double> measured_bytes_;
  double measured_ms_ = 0.0;
  // When the last rejected caller should return.
  core::monotonic_time last_return_{};
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_START_ADMISSION_H_
