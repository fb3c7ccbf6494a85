// Distinguishes faulty workers, on which all jobs fail, from faulty jobs, which
// fail on all workers, and decides which workers to quarantine.
#ifndef WAXWINGFRONT_SHARD_WORKER_HEALTH_H_
#define WAXWINGFRONT_SHARD_WORKER_HEALTH_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::shard {

// Number of different jobs with consecutive failures on a worker after which
// the worker is quarantined.
inline constexpr std::size_t kFailuresToQuarantine = 3;
// Number of workers on which a job must fail before its failures are attributed
// to the job.
inline constexpr std::size_t kWorkersToBlameJob = 3;
// Limit on the quarantined workers of a shard; at least one worker is allowed.
inline constexpr std::size_t kMaxQuarantinedPercent = 25;
// Delay between a failed probe and the next one.
inline constexpr core::milliseconds kProbePause{10000};

enum class failure_attribution {
  // The failure is attributed to the job.
  kJob,
  // The failure is attributed to the worker, which is already quarantined.
  kWorker,
  // The failure is attributed to the worker, which must now be quarantined.
  kQuarantine,
};

struct quarantine_status {
  // True if the worker in question is quarantined.
  bool this_worker = false;
  // Number of quarantined workers in the shard's state.
  std::size_t quarantined = 0;
  // Number of workers of the shard in the host list.
  std::size_t workers = 0;
};

// Kept in the owner's memory only; after a take-over, counts of consecutive
// failures start at zero.
class worker_health {
 public:
  void OnSuccess(std::string_view worker, std::string_view job);
  failure_attribution OnFailure(std::string_view worker, std::string_view job,
                                const quarantine_status& status,
                                core::monotonic_time now);
  // True if a quarantined worker may receive a probe task.
  bool MayProbe(std::string_view worker, core::monotonic_time now) const;
  void OnJobClosed(std::string_view job);

 private:
  using name_set = std::set<std::string, std::less<>>;

  bool IsJobFault(std::string_view job) const;

  // By worker: jobs that failed there since the worker's last success.
  std::map<std::string, name_set, std::less<>> failed_jobs_;
  // By job: workers on which it failed since its last success.
  std::map<std::string, name_set, std::less<>> failed_on_;
  std::map<std::string, core::monotonic_time, std::less<>> next_probe_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_WORKER_HEALTH_H_
