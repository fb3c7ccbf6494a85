// Decisions of a shard's owner: events go in, appends and worker messages come
// out. Does no I/O and reads no clock. `docs/design.md` section 5.2 has the
// rules that keep a task in one place.
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
  // Id of the entry that owns the shard.
  std::string owner;
  core::milliseconds lease_ttl{9000};
  // Time after the lease in which bound work may still be started and renewed.
  core::milliseconds grace{600000};
  // Upper bounds of what workers grant.
  core::milliseconds ticket{6000};
  core::milliseconds task_lease{20000};
  core::milliseconds sync_period{2000};
  double appends_per_second = 2;
  int append_burst = 4;
  // Time after its end during which a job is kept in the state.
  core::milliseconds job_retention{86400000};
  std::function<std::uint64_t()> nonce;
};

// A record to create in the log under `number`.
struct log_append {
  std::uint64_t number = 0;
  schema::log_record record;
};

// What a new owner read from the store.
struct recovered_shard {
  shard_state state;
  // Number under which the next record goes.
  std::uint64_t next_number = 1;
};

class shard_core {
 public:
  // `lease_asked_at` is the time just before the entry's lease was last asked
  // for; `now` is the time of the take-over.
  shard_core(shard_core_options options, recovered_shard recovered,
             core::monotonic_time lease_requested_at, core::monotonic_time now);

  void OnLeaseRenewed(core::monotonic_time requested_at);
  void OnHosts(std::shared_ptr<const hosts::host_view> view);
  void OnBundle(std::shared_ptr<const bundle::bundle_view> policy);

  // Queues a job. Gives the number of the record that carries it: the job is
  // accepted once `IsApplied` of that number. A repeated submission gives the
  // first one's number.
  // Fails with `kOverloaded` when the next record would become too large.
  core::result<std::uint64_t> Submit(const schema::job_spec& spec);
  // Queues a cancellation; otherwise as `Submit`.
  core::result<std::uint64_t> Cancel(std::string_view job);
  // Some jobs that ended longer ago than the retention. The caller deletes
  // their locations in the store and then calls `Drop` for each: in this order
  // no location outlives its job.
  std::vector<std::string> ExpiredJobs(core::monotonic_time now) const;
  void Drop(std::string_view job);
  // Asks for an attempt to be stopped with a checkpoint and its task to be
  // bound again.
  void Evict(const schema::attempt_id& id);
  // Stops binding and prepares a record that ends this epoch. No worker is
  // contacted after it.
  void Resign();

  // The next record to write, or nothing. The same record must be written until
  // its outcome is known.
  std::optional<log_append> NextAppend(core::monotonic_time now);
  void OnAppendApplied();
  // Another owner wrote to the log: this object decides nothing any more.
  void OnDeposed();

  // The next message for `worker`, or nothing. Each must be answered by one of
  // the two calls below.
  std::optional<schema::sync_request> NextSync(const std::string& worker,
                                               core::monotonic_time now);
  void OnSyncReply(const std::string& worker,
                   const schema::sync_response& response,
                   core::monotonic_time now);
  void OnSyncFailed(const std::string& worker, core::monotonic_time now);

  // Ids of the workers that may need a message.
  std::vector<std::string> Workers() const;
  bool IsApplied(std::uint64_t number) const {
    return number <= applied_through_;
  }
  std::uint64_t AppliedThrough() const { return applied_through_; }
  bool IsDeposed() const { return deposed_; }
  // Whether the record of `Resign` is in the log.
  bool HasResigned() const {
    return resigned_ && !deposed_ && !in_flight_.has_value();
  }
  const shard_state& State() const { return state_; }
  // The job's status with the reason why it cannot be placed, if there is one.
  schema::job_status Status(std::string_view job) const;
  // State as the log has it; nothing while a record's outcome is unknown.
  std::optional<schema::shard_snapshot> Snapshot() const;

 private:
  using attempt_key = std::tuple<std::string, std::int64_t, std::int32_t>;

  // What the owner knows of one worker since the take-over.
  struct worker_contact {
    std::string incarnation;
    core::monotonic_time incarnation_seen_at;
    std::string ticket;
    core::monotonic_time ticket_end;
    // Time after which nothing bound there can run if no other message is
    // answered.
    core::monotonic_time all_ended_by;
    core::monotonic_time next_sync;
    core::monotonic_time next_urgent;
    bool has_responded = false;
    bool in_flight = false;
    bool leaving = false;
    // What the worker itself says it has; the host list may be out of date.
    core::resources capacity;
    core::resources unaccounted;
    // Attempts that the last answer listed as running.
    std::set<attempt_key> running;
    // Attempts to stop that the log does not have, and ended ones to forget.
    std::set<attempt_key> unknown_attempts;
    std::set<attempt_key> to_forget;
    // Attempts whose start or stop the last request carried; they are not
    // urgent any more.
    std::set<attempt_key> last_commands;
    std::set<attempt_key> last_starts;
    // How many answers in a row listed neither a run nor an end of an attempt
    // whose start they were asked for.
    std::map<attempt_key, int> rejected_starts;
    // Attempts that ran before the worker restarted and are not listed since.
    std::set<attempt_key> missing_attempts;
  };

  static attempt_key KeyOf(const schema::attempt_id& id);
  static schema::attempt_id IdOf(const attempt_key& key);
  core::milliseconds WithDrift(core::milliseconds duration) const;
  // For how long an earlier owner may still send, counted from the take-over.
  core::milliseconds FormerOwnerGrace() const;
  // The end of this epoch, prepared by `Resign`.
  schema::decision ResignDecision(core::monotonic_time now) const;
  bool MayCommand(core::monotonic_time now) const;
  // Whether no newer owner can have spoken to this incarnation before this one
  // did. A restarted worker has forgotten the epochs it saw, so an owner whose
  // lease may have ended must not command an incarnation that it meets then.
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
  // Takes starts back that the worker does not carry out again and again, for
  // example for want of capacity.
  void CountRejectedStarts(const schema::sync_response& response,
                           worker_contact& contact);
  // Ends attempts that a restarted worker ran before and does not list any
  // more, unless it runs unknown tasks: one of these may be such an attempt.
  void EndMissingAttempts(const std::string& worker, worker_contact& contact);
  // Adds starts, stops, renewal and what to forget.
  void AddCommands(const std::string& worker, const worker_contact& contact,
                   schema::sync_request& request) const;
  void MoveQueuedDecisions(schema::log_record& record,
                           core::monotonic_time now);
  // Settles whose fault an end is, and quarantines or releases the worker.
  void AttributeOutcome(schema::attempt_ended& ended,
                        schema::log_record& record, core::monotonic_time now);
  // Gives whether the state took the decision.
  bool ApplyTo(schema::log_record& record, const schema::decision& decision);
  // Evicts what the bundle in force no longer permits, preemptible or not.
  void EvictViolations();
  void PlanInto(schema::log_record& record, core::monotonic_time now);
  // Makes room for urgent tasks that the plan left over.
  void Preempt(const std::vector<candidate_worker>& candidates,
               core::monotonic_time now);
  // Whether a queued decision brings an urgent task nearer to its start.
  bool HasUrgentDecision() const;
  bool IsUrgent(const schema::job_spec& spec) const;
  void RecordIfClosed(const std::string& job, core::monotonic_time now);
  bool IsPlanDue(core::monotonic_time now) const;
  bool IsCandidate(const hosts::worker_info& info,
                   core::monotonic_time now) const;
  // What the worker lacks of the capacity in the host list.
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
  // Time after which nothing that was bound before the take-over can run
  // without contact.
  core::monotonic_time inherited_work_end_;
  token_bucket append_tokens_;
  std::shared_ptr<const hosts::host_view> hosts_;
  std::shared_ptr<const bundle::bundle_view> policy_;
  std::map<std::string, worker_contact> contacts_;
  std::vector<schema::decision> queued_;
  // Jobs whose acceptance is queued, with their specifications.
  std::map<std::string, schema::job_spec, std::less<>> queued_jobs_;
  std::size_t queued_bytes_ = 0;
  // Jobs accepted by the record in flight.
  std::set<std::string, std::less<>> unconfirmed_jobs_;
  // Attempts whose end is queued or in flight.
  std::set<attempt_key> pending_ends_;
  // Attempts bound by the record in flight.
  std::set<attempt_key> unconfirmed_bindings_;
  std::set<attempt_key> evictions_;
  capacity_holds holds_;
  retry_schedule retries_;
  worker_health health_;
  aging aging_;
  // Ended jobs, by the time at which this owner first saw them so. The log has
  // no times, so a take-over starts the retention anew.
  std::map<std::string, core::monotonic_time, std::less<>> closed_at_;
  // Time of the last planning pass, and whether something that it depends on
  // has changed since then.
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
