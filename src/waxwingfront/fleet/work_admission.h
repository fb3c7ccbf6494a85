// Admission of best-effort jobs while tasks of their kind stand still.
//
// Executors pace best-effort tasks down, or have no room for them, when more
// are accepted than the serving tasks beside them bear. All jobs are late then,
// though as many tasks end as before. A new job of a kind that stands still is
// rejected at once, so that those that were accepted are on time.
#ifndef WAXWINGFRONT_FLEET_WORK_ADMISSION_H_
#define WAXWINGFRONT_FLEET_WORK_ADMISSION_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct work_admission_options {
  // Minimum time between two samples, because each considers all live jobs.
  core::milliseconds sample_period{200};
  // A queue is overloaded once all samples of this time show it above
  // `queue_limit`: jobs have the time for what is over sooner. It is so until
  // all samples of the recovery time show it below.
  core::milliseconds overload_time{2000};
  core::milliseconds recovery_time{3000};
  // Samples further apart show nothing of the time between them.
  core::milliseconds max_sample_gap{1000};
  // Jobs are rejected only if their kind has stood still within this time.
  core::milliseconds congestion_memory{3000};
  // Time constant with which accepted jobs stop to count: until their tasks are
  // placed, reported and paced, samples do not show what they do.
  core::milliseconds accepted_memory{500};
  // Ratios of standing to working tasks above which the kind, and its whole
  // queue, count as standing still.
  double kind_limit = 0.4;
  double queue_limit = 0.2;
  // Time constant with which the measured rate of completed work is forgotten.
  core::milliseconds rate_memory{3000};
  // Bounds on the time after which a rejected caller should return.
  core::milliseconds min_retry{1000};
  core::milliseconds max_retry{2000};
};

// Short jobs of one queue whose first step has this image: how much they
// disturb serving tasks depends on the image.
struct work_kind {
  std::string queue;
  std::string image;

  friend auto operator<=>(const work_kind&, const work_kind&) = default;
};

// Short tasks of one kind.
struct work_level {
  std::size_t jobs = 0;
  // Ready tasks without an executor, and running ones.
  std::size_t waiting = 0;
  std::size_t running = 0;
  // Sum of the paces of running tasks, as shares of the full pace.
  double working = 0.0;
  // Tasks of useful jobs that wait for room, and what paces below the full one
  // take from those that run.
  double standing = 0.0;

  work_level& operator+=(const work_level& other);
};

using work_sample = std::map<work_kind, work_level>;

// A new job.
struct work_request {
  work_kind kind;
  // Tasks that it may start at once.
  std::size_t first_tasks = 0;
  // Estimated time of all its tasks.
  core::milliseconds work{0};
};

// Why a job is rejected.
struct work_refusal {
  work_kind kind;
  // Of its kind, and of its queue.
  work_level level;
  work_level queue_level;
  // First tasks of the jobs that were accepted lately.
  double accepted_tasks = 0.0;
  // Estimated task time of its kind that is completed per time.
  double rate = 0.0;
  core::milliseconds retry_after{0};
};

class work_admission {
 public:
  explicit work_admission(work_admission_options options = {})
      : options_(options) {}

  // Records a task that has been completed.
  void OnDone(const work_kind& kind, core::milliseconds estimated,
              core::monotonic_time now);
  bool NeedsSample(core::monotonic_time now) const {
    return !sampled_at_ || now - *sampled_at_ >= options_.sample_period;
  }
  // Replaces the levels. Forgets kinds that are not in the sample.
  void SetSample(const work_sample& sample, core::monotonic_time now);

  // Returns why a new job is rejected. Otherwise counts its first tasks, since
  // the job will be accepted.
  std::optional<work_refusal> Admit(const work_request& job,
                                    core::monotonic_time now);

 private:
  struct kind_state {
    work_level level;
    std::optional<core::monotonic_time> congested_at;
    // First tasks of accepted jobs, and completed task time in milliseconds;
    // they decay with `accepted_memory` and `rate_memory`.
    double accepted_tasks = 0.0;
    double done_ms = 0.0;
    core::monotonic_time decayed_at{};
    core::monotonic_time first_seen{};
    // When the last rejected caller should return.
    core::monotonic_time last_return{};
  };

  struct queue_state {
    // Sum over its kinds.
    work_level level;
    // First of the latest samples that all show it above the limit, or below.
    std::optional<core::monotonic_time> above_since;
    std::optional<core::monotonic_time> below_since;
    bool overloaded = false;
  };

  void UpdateQueues(const work_sample& sample, core::monotonic_time now);
  // Forgets accepted and completed work.
  void Decay(kind_state& kind, core::monotonic_time now) const;
  // Returns the completed task time per time.
  double Rate(const kind_state& kind, core::monotonic_time now) const;
  core::milliseconds RetryAfter(kind_state& kind, core::milliseconds work,
                                core::monotonic_time now) const;

  work_admission_options options_;
  std::map<work_kind, kind_state> kinds_;
  std::map<std::string, queue_state> queues_;
  std::optional<core::monotonic_time> sampled_at_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_WORK_ADMISSION_H_
