// The replayed state of a shard: jobs, their tasks' attempts, and workers out
// of service.
#ifndef WAXWINGFRONT_SHARD_SHARD_STATE_H_
#define WAXWINGFRONT_SHARD_SHARD_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/core/resources.h"
#include "waxwingfront/schema/gen/shard_log.pb.h"

namespace waxwingfront::shard {

// An attempt that is bound to a worker and has not ended.
struct bound_attempt {
  std::int32_t attempt = 0;
  std::string worker;
  // Position that the attempt resumes from.
  std::string checkpoint;
  // Position in the order of all bindings of the shard.
  std::uint64_t order = 0;
};

// A task whose last attempt ended without finishing it.
struct waiting_task {
  std::int32_t attempts = 0;
  std::string checkpoint;
};

// One job. Its size follows the active tasks, not all tasks.
struct job_record {
  schema::job_spec spec;
  core::resources task_size;
  // Position in the order of acceptance.
  std::uint64_t order = 0;
  // Tasks from this index on never had an attempt.
  std::int64_t next_task = 0;
  std::map<std::int64_t, bound_attempt> active;
  std::map<std::int64_t, waiting_task> waiting;
  // Failed attempts of tasks that are active or waiting.
  std::map<std::int64_t, std::int32_t> failures;
  std::int64_t finished = 0;
  std::int64_t failed_attempts = 0;
  std::int64_t evicted_attempts = 0;
  std::int64_t lost_attempts = 0;
  bool cancelled = false;
  bool failed = false;

  // Whether a task may still be bound.
  bool HasUnboundTask() const;
  // Whether nothing of the job will change any more.
  bool IsClosed() const;
  schema::job_state State() const;
};

// Applies decisions in log order. Equal logs give equal states.
class shard_state {
 public:
  // Fails with `kInternal` when `decision` contradicts the state; the state is
  // then unchanged.
  core::result<void> Apply(const schema::decision& decision);

  const std::map<std::string, job_record, std::less<>>& Jobs() const {
    return jobs_;
  }
  const job_record* FindJob(std::string_view id) const;
  // Ids of jobs that are not closed.
  const std::set<std::string, std::less<>>& OpenJobs() const {
    return open_jobs_;
  }
  const std::set<std::string, std::less<>>& Quarantined() const {
    return quarantined_;
  }

  // Declared sizes of all attempts that are bound to `worker`.
  core::resources CommittedToWorker(std::string_view worker) const;
  // Declared sizes of all bound attempts of `customer`.
  core::resources CommittedToCustomer(std::string_view customer) const;
  // Tasks with an attempt bound to a worker, as (job, task).
  using task_set = std::set<std::pair<std::string, std::int64_t>>;
  // Only workers with a bound attempt are listed.
  const std::map<std::string, task_set, std::less<>>& BoundByWorker() const {
    return bound_by_worker_;
  }
  // Whether this very attempt is bound and has not ended.
  bool IsBound(const schema::attempt_id& id) const;

  std::uint64_t Epoch() const { return epoch_; }
  // Whether the last owner ended its epoch by a resign record.
  bool Resigned() const { return resigned_; }
  // After a resign record: for how long an owner before the last one may still
  // send, counted from that record.
  core::milliseconds FormerOwnerGrace() const { return former_grace_; }

  schema::job_status Status(std::string_view job) const;

  // State as of the record with the number `through`.
  schema::shard_snapshot ToSnapshot(std::uint64_t through) const;
  static shard_state FromSnapshot(const schema::shard_snapshot& snapshot);

 private:
  core::result<void> ApplyEpoch(const schema::epoch_started& decision);
  core::result<void> ApplyAccepted(const schema::job_accepted& decision);
  core::result<void> ApplyCancelled(const schema::job_cancelled& decision);
  core::result<void> ApplyBound(const schema::attempt_bound& decision);
  core::result<void> ApplyEnded(const schema::attempt_ended& decision);
  core::result<void> ApplyDropped(const schema::job_dropped& decision);
  static void CountOutcome(job_record& job,
                           const schema::attempt_ended& decision);
  void AddBound(const job_record& job, std::int64_t task,
                const std::string& worker);
  void RemoveBound(const job_record& job, std::int64_t task,
                   const std::string& worker);

  std::map<std::string, job_record, std::less<>> jobs_;
  std::set<std::string, std::less<>> open_jobs_;
  std::set<std::string, std::less<>> quarantined_;
  std::map<std::string, task_set, std::less<>> bound_by_worker_;
  std::map<std::string, core::resources, std::less<>> committed_by_worker_;
  std::map<std::string, core::resources, std::less<>> committed_by_customer_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_binding_ = 0;
  std::uint64_t epoch_ = 0;
  bool resigned_ = false;
  core::milliseconds former_grace_{0};
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_SHARD_STATE_H_
