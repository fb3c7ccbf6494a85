// Tells workers that fail everything from jobs that fail everywhere.
#ifndef WAXWINGFRONT_SHARD_WORKER_HEALTH_H_
#define WAXWINGFRONT_SHARD_WORKER_HEALTH_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::shard {

// Failures in a row of different jobs that quarantine a worker.
inline constexpr std::size_t kFailuresToQuarantine = 3;
// Workers on which a job fails before its failures count as its own fault.
inline constexpr std::size_t kWorkersToBlameJob = 3;
// The largest part of a shard's workers in quarantine; at least one worker.
inline constexpr std::size_t kMaxQuarantinedPercent = 25;
// Pause between a failed probe and the next one.
inline constexpr core::milliseconds kProbePause{10000};

enum class failure_attribution {
  // The failure counts against the job.
  kJob,
  // The failure is the worker's, which is in quarantine already.
  kWorker,
  // The failure is the worker's, which goes into quarantine by it.
  kQuarantine,
};

// Quarantined workers of a shard, as its state and its host list have them.
struct quarantine_status {
  bool this_worker = false;
  std::size_t quarantined = 0;
  std::size_t workers = 0;
};

// Kept in the owner's memory only: after a take-over, failures in a row are
// counted anew.
class worker_health {
 public:
  void OnSuccess(std::string_view worker, std::string_view job);
  failure_attribution OnFailure(std::string_view worker, std::string_view job,
                                const quarantine_status& status,
                                core::monotonic_time now);
  // Whether a quarantined worker may get one task now.
  bool MayProbe(std::string_view worker, core::monotonic_time now) const;
  // The job is closed.
  void OnJobClosed(std::string_view job);

 private:
  using name_set = std::set<std::string, std::less<>>;

  bool IsJobFault(std::string_view job) const;

  // Jobs that failed on a worker since the last success there.
  std::map<std::string, name_set, std::less<>> failed_jobs_;
  // Workers on which a job failed since its last success.
  std::map<std::string, name_set, std::less<>> failed_on_;
  std::map<std::string, core::monotonic_time, std::less<>> next_probe_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_WORKER_HEALTH_H_
