// Decision logic of a shard's owner: consumes events and produces log appends
// and worker messages. Does no I/O and reads no clock. `docs/design.md` section
// 5.2 states the rules that keep a task from running twice at the same time.
#ifndef WAXWINGFRONT_SHARD_SHARD_CORE_H_
#define WAXWINGFRONT_SHARD_SHARD_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/schema/gen/shard_log.pb.h"
#include "waxwingfront/schema/gen/worker_protocol.pb.h"
#include "waxwingfront/shard/aging.h"
#include "waxwingfront/shard/capacity_holds.h"
#include "waxwingfront/shard/planner.h"
#include "waxwingfront/shard/retry_schedule.h"
#include "waxwingfront/shard/shard_state.h"
#include "waxwingfront/shard/token_bucket.h"
#include "waxwingfront/shard/worker_health.h"

namespace waxwingfront::shard {

struct shard_core_options {
  std::string shard;
  // Id of the owning entry.
  std::string owner;
  core::milliseconds lease_ttl{9000};
  // Time after the end of the lease in which the owner may still start and
  // renew bound work.
  core::milliseconds grace{600000};
  // Upper bounds of the tickets and task leases that workers grant.
  core::milliseconds ticket{6000};
  core::milliseconds task_lease{20000};
  core::milliseconds sync_period{2000};
  double appends_per_second = 2;
  int append_burst = 4;
  // Time for which an ended job is kept in the state.
  core::milliseconds job_retention{86400000};
  std::function<std::uint64_t()> nonce;
};

// A log record and the number under which it is to be created.
struct log_append {
  std::uint64_t number = 0;
  schema::log_record record;
};

// State of a shard as a new owner recovered it from the store.
struct recovered_shard {
  shard_state state;
  // Number of the next record.
  std::uint64_t next_number = 1;
};

class shard_core {
 public:
  // `lease_requested_at` is the time just before the entry last requested or
  // renewed its lease; `now` is the time of the take-over.
  shard_core(shard_core_options options, recovered_shard recovered,
             core::monotonic_time lease_requested_at, core::monotonic_time now);

  void OnLeaseRenewed(core::monotonic_time requested_at);
  void OnHosts(std::shared_ptr<const hosts::host_view> view);
  void OnBundle(std::shared_ptr<const bundle::bundle_view> policy);

  // Queues a job and returns the number of the record that will contain it. The
  // job is accepted once `IsApplied(number)` is true. A repeated submission
  // does not queue the job again; the number that it returns is applied only
  // when the job is in the log.
  // Fails with `kOverloaded` if the next record would become too large.
  core::result<std::uint64_t> Submit(const schema::job_spec& spec);
  // Queues a cancellation and returns the number of the record that will
  // contain it.
  core::result<std::uint64_t> Cancel(std::string_view job);
  // Returns a bounded number of jobs that ended longer ago than the retention.
  // The caller must delete a job's location in the store before it calls `Drop`
  // for it, so that no location outlives its job.
  std::vector<std::string> ExpiredJobs(core::monotonic_time now) const;
  void Drop(std::string_view job);
  // Requests that an attempt be stopped with a checkpoint; its task is bound
  // again later.
  void Evict(const schema::attempt_id& id);
  // Stops binding. The next record ends this epoch, and no worker is contacted
  // once that record is prepared.
  void Resign();

  // Returns the next record to write, or nothing. The caller must retry the
  // same record until its outcome is known.
  std::optional<log_append> NextAppend(core::monotonic_time now);
  void OnAppendApplied();
  // To be called after another owner wrote to the log. No further decisions are
  // made.
  void OnDeposed();

  // Returns the next message for `worker`, or nothing. Each message must be
  // followed by a call of `OnSyncReply` or `OnSyncFailed`.
  std::optional<schema::sync_request> NextSync(const std::string& worker,
                                               core::monotonic_time now);
  void OnSyncReply(const std::string& worker,
                   const schema::sync_response& response,
                   core::monotonic_time now);
  void OnSyncFailed(const std::string& worker, core::monotonic_time now);

  // Returns the ids of all workers that may need a message.
  std::vector<std::string> Workers() const;
  bool IsApplied(std::uint64_t number) const {
    return number <= applied_through_;
  }
  std::uint64_t AppliedThrough() const { return applied_through_; }
  bool IsDeposed() const { return deposed_; }
  // True if the resign record is in the log.
  bool HasResigned() const {
    return resigned_ && !deposed_ && !in_flight_.has_value();
  }
  const shard_state& State() const { return state_; }
  // Returns the job's status, including the reason if it cannot be placed.
  schema::job_status Status(std::string_view job) const;
  // Returns the state as of the log, or nothing while a record's outcome is
  // unknown.
  std::optional<schema::shard_snapshot> Snapshot() const;

 private:
  using attempt_key = std::tuple<std::string, std::int64_t, std::int32_t>;

  // State of the communication with one worker since the take-over.
  struct worker_contact {
    std::string incarnation;
    core::monotonic_time incarnation_seen_at;
    std::string ticket;
    core::monotonic_time ticket_end;
    // Time by which all attempts bound to the worker have ended, unless it
    // responds to another message.
    core::monotonic_time all_ended_by;
    core::monotonic_time next_sync;
    core::monotonic_time next_urgent;
    bool has_responded = false;
    bool in_flight = false;
    bool leaving = false;
    // Capacity as reported by the worker; the host list may be out of date.
    core::resources capacity;
    // Size of the running attempts in `unknown_attempts`.
    core::resources unaccounted;
    // Attempts that the last response listed as running.
    std::set<attempt_key> running;
    // Running attempts that are not bound to the worker in the log; they are
    // stopped.
    std::set<attempt_key> unknown_attempts;
    // Ended attempts that the worker may discard.
    std::set<attempt_key> to_forget;
    // Attempts whose start or stop was in the last request, so that they need
    // no immediate message.
    std::set<attempt_key> last_commands;
    std::set<attempt_key> last_starts;
    // By attempt: the number of consecutive responses that listed the attempt
    // neither as running nor as ended although its start was requested.
    std::map<attempt_key, int> rejected_starts;
    // Attempts that ran before the worker restarted and have not been listed
    // since.
    std::set<attempt_key> missing_attempts;
  };

  static attempt_key KeyOf(const schema::attempt_id& id);
  static schema::attempt_id IdOf(const attempt_key& key);
  core::milliseconds WithDrift(core::milliseconds duration) const;
  // Returns the time after the take-over during which an earlier owner may
  // still send commands.
  core::milliseconds FormerOwnerGrace() const;
  // Returns the decision that ends this epoch after `Resign`.
  schema::decision ResignDecision(core::monotonic_time now) const;
  // True if this owner may still send commands to workers.
  bool MayCommand(core::monotonic_time now) const;
  // True if this owner contacted the worker's incarnation while it surely held
  // the lease, and thus before any newer owner. A restarted worker does not
  // remember epochs, so an owner whose lease may have expired must not command
  // an incarnation that it first contacts then.
  bool IsTrusted(const worker_contact& contact) const;
  worker_contact& Contact(const std::string& worker);
  std::vector<std::pair<attempt_key, const job_record*>> BoundTo(
      std::string_view worker) const;
  bool IsConfirmed(const attempt_key& key) const {
    return !unconfirmed_bindings_.contains(key);
  }
  bool ShouldStop(const attempt_key& key, const job_record& job,
                  const worker_contact& contact) const;

  void QueueAttemptEnd(const schema::attempt_id& id,
                       schema::attempt_outcome outcome,
                       std::string_view checkpoint);
  void QueueLostAttempts(core::monotonic_time now);
  void ApplyReport(const schema::attempt_report& report,
                   const std::string& worker, worker_contact& contact);
  // Evicts attempts whose start the worker repeatedly does not carry out, for
  // example because it lacks capacity.
  void CountRejectedStarts(const schema::sync_response& response,
                           worker_contact& contact);
  // Records attempts as lost that ran before a restart of the worker and are no
  // longer listed. Does nothing while the worker runs unknown tasks, since one
  // of them may be such an attempt.
  void EndMissingAttempts(const std::string& worker, worker_contact& contact);
  // Adds starts, stops, the renewal of task leases, and ended attempts to
  // discard.
  void AddCommands(const std::string& worker, const worker_contact& contact,
                   schema::sync_request& request) const;
  void MoveQueuedDecisions(schema::log_record& record,
                           core::monotonic_time now);
  // Attributes an attempt's outcome to the job or to the worker, and
  // quarantines or releases the worker accordingly.
  void AttributeOutcome(schema::attempt_ended& ended,
                        schema::log_record& record, core::monotonic_time now);
  // Applies the decision and adds it to the record. Returns false if it
  // contradicts the state.
  bool ApplyTo(schema::log_record& record, const schema::decision& decision);
  // Evicts attempts that the current bundle no longer permits, whether
  // preemptible or not.
  void EvictViolations();
  void PlanInto(schema::log_record& record, core::monotonic_time now);
  // Evicts attempts to free capacity for urgent tasks without a placement.
  void Preempt(const std::vector<candidate_worker>& candidates,
               core::monotonic_time now);
  // True if a queued decision is needed for the start of an urgent task.
  bool HasUrgentDecision() const;
  bool IsUrgent(const schema::job_spec& spec) const;
  void RecordIfClosed(const std::string& job, core::monotonic_time now);
  bool IsPlanDue(core::monotonic_time now) const;
  bool IsCandidate(const hosts::worker_info& info,
                   core::monotonic_time now) const;
  // Returns the part of the capacity in the host list that is not available on
  // the worker.
  static core::resources UnavailableCapacity(const hosts::worker_info& info,
                                             const worker_contact& contact);
  bool HasUrgentMessage(const std::string& worker,
                        const worker_contact& contact,
                        core::monotonic_time now) const;

  shard_core_options options_;
  shard_state state_;
  std::uint64_t epoch_;
  std::uint64_t next_number_;
  std::uint64_t applied_through_;
  core::monotonic_time lease_requested_at_;
  // Time by which attempts bound before the take-over have ended on workers
  // that this owner has not contacted.
  core::monotonic_time inherited_work_end_;
  token_bucket append_tokens_;
  std::shared_ptr<const hosts::host_view> hosts_;
  std::shared_ptr<const bundle::bundle_view> policy_;
  std::map<std::string, worker_contact> contacts_;
  std::vector<schema::decision> queued_;
  // Specifications of jobs whose acceptance is queued.
  std::map<std::string, schema::job_spec, std::less<>> queued_jobs_;
  std::size_t queued_bytes_ = 0;
  // Jobs whose acceptance is in the record in flight.
  std::set<std::string, std::less<>> unconfirmed_jobs_;
  // Attempts whose end is queued or in the record in flight.
  std::set<attempt_key> pending_ends_;
  // Attempts whose binding is in the record in flight.
  std::set<attempt_key> unconfirmed_bindings_;
  std::set<attempt_key> evictions_;
  capacity_holds holds_;
  retry_schedule retries_;
  worker_health health_;
  aging aging_;
  // Closed jobs with the time at which this owner first saw them closed. The
  // log contains no times, so the retention restarts at a take-over.
  std::map<std::string, core::monotonic_time, std::less<>> closed_at_;
  // Time of the last planning pass, and whether one of its inputs has changed
  // since then.
  core::monotonic_time planned_at_;
  bool plan_changed_ = true;
  std::optional<log_append> in_flight_;
  bool epoch_applied_ = false;
  bool resigning_ = false;
  bool resigned_ = false;
  bool deposed_ = false;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_SHARD_CORE_H_
