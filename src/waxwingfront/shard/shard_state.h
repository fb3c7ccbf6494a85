// State of a shard replayed from its log: jobs, attempts and quarantined
// workers.
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
  // Checkpoint from which the attempt resumes.
  std::string checkpoint;
  // Sequence number among all bindings of the shard.
  std::uint64_t order = 0;
};

// A task whose last attempt ended without finishing the task.
struct waiting_task {
  std::int32_t attempts = 0;
  std::string checkpoint;
};

// One job. Memory use grows with the number of started, unfinished tasks, not
// with that of all tasks.
struct job_record {
  schema::job_spec spec;
  core::resources task_size;
  // Sequence number among all accepted jobs.
  std::uint64_t order = 0;
  // Tasks from this index on have had no attempt.
  std::int64_t next_task = 0;
  std::map<std::int64_t, bound_attempt> active;
  std::map<std::int64_t, waiting_task> waiting;
  // Number of failed attempts by task, for active and waiting tasks.
  std::map<std::int64_t, std::int32_t> failures;
  std::int64_t finished = 0;
  std::int64_t failed_attempts = 0;
  std::int64_t evicted_attempts = 0;
  std::int64_t lost_attempts = 0;
  bool cancelled = false;
  bool failed = false;

  // True if the job has a task that may be bound.
  bool HasUnboundTask() const;
  // True if the job is in a final state.
  bool IsClosed() const;
  schema::job_state State() const;
};

// Applies decisions in log order. Equal logs yield equal states.
class shard_state {
 public:
  // Fails with `kInternal` if `decision` contradicts the state; the state is
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

  // Returns the total declared size of the attempts bound to `worker`.
  core::resources CommittedToWorker(std::string_view worker) const;
  // Returns the total declared size of the bound attempts of `customer`.
  core::resources CommittedToCustomer(std::string_view customer) const;
  // Pairs of job id and task index.
  using task_set = std::set<std::pair<std::string, std::int64_t>>;
  // Returns the tasks with a bound attempt by worker. Workers without a bound
  // attempt are not listed.
  const std::map<std::string, task_set, std::less<>>& BoundByWorker() const {
    return bound_by_worker_;
  }
  // True if this attempt is bound and has not ended.
  bool IsBound(const schema::attempt_id& id) const;

  std::uint64_t Epoch() const { return epoch_; }
  // True if the last owner ended its epoch with a resign record.
  bool Resigned() const { return resigned_; }
  // After a resign record: the time, counted from that record, during which an
  // owner before the last one may still send commands.
  core::milliseconds FormerOwnerGrace() const { return former_grace_; }

  schema::job_status Status(std::string_view job) const;

  // Returns a snapshot of the state; `through` is the number of the last record
  // that it includes.
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
