// The leader's decision core: it consumes events and timestamps and produces
// orders and records. It uses neither the network nor a clock.
#ifndef WAXWINGFRONT_FLEET_FLEET_CORE_H_
#define WAXWINGFRONT_FLEET_FLEET_CORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "waxwingfront/fleet/capacity_reserve.h"
#include "waxwingfront/fleet/executor_room.h"
#include "waxwingfront/fleet/fleet_journal.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/job_memory.h"
#include "waxwingfront/fleet/lease_ledger.h"
#include "waxwingfront/fleet/load_monitor.h"
#include "waxwingfront/fleet/order_deadlines.h"
#include "waxwingfront/fleet/planner.h"
#include "waxwingfront/fleet/processor_stages.h"
#include "waxwingfront/fleet/rebalancer.h"
#include "waxwingfront/fleet/run_tracker.h"
#include "waxwingfront/fleet/sharing_policy.h"
#include "waxwingfront/fleet/standing_admission.h"
#include "waxwingfront/fleet/start_admission.h"
#include "waxwingfront/fleet/start_backlog.h"
#include "waxwingfront/fleet/start_queue.h"
#include "waxwingfront/fleet/step_advice.h"
#include "waxwingfront/fleet/work_admission.h"
#include "waxwingfront/fleet/work_load.h"

namespace waxwingfront::fleet {

struct fleet_options {
  order_deadline_options deadlines;
  // Executors shorten any deadline to at most this long after its arrival.
  core::milliseconds longest_hold{10'000};
  // Duration of the leader's lease in the store.
  core::milliseconds leader_lease{1500};
  // How long a final job can be queried.
  core::milliseconds retention{150'000};
  // Factor by which a task's duration grows away from its data.
  double remote_factor = 1.0;
  run_tracker_options runs;
  standing_admission_options admission;
  start_queue_options starts;
  work_admission_options work;
  job_memory_options memory;
};

enum class submission { kNew, kDuplicate };

class fleet_core {
 public:
  explicit fleet_core(fleet_options options);

  void SetManifest(manifest update);
  const manifest& Manifest() const { return state_.current_manifest; }

  // Loads a stored job after a takeover.
  void Restore(schema::fleet_job job, std::int64_t job_revision,
               const std::optional<schema::fleet_progress>& progress,
               std::int64_t progress_revision, moment at);
  // Marks all stored jobs and executors as loaded. Runs on executors that never
  // respond count as ended at the times that earlier leaders recorded, or at
  // `claimed` plus the leader lease and the longest hold if they recorded none.
  void FinishRestore(moment claimed,
                     const std::optional<lease_lapses>& recorded = {});

  // Bounds on leases that a later leader relies on. No lease is given before
  // they are stored.
  lease_ledger& Leases() { return leases_; }
  // Begins a new version of their record, sent at `now`.
  schema::fleet_leases NextLeaseRecord(core::monotonic_time now);
  // True if the record delays work until a new version is stored.
  bool LeaseRecordOutdated(core::monotonic_time now) const;

  bool HasJob(const std::string& id) const { return state_.jobs.contains(id); }
  // The records of the job with this id cannot be read: the job may have been
  // accepted, its state is not known, and nothing may be written over them.
  void MarkDamaged(const std::string& id) { damaged_jobs_.insert(id); }
  bool IsDamaged(const std::string& id) const {
    return damaged_jobs_.contains(id);
  }
  submission Submit(schema::fleet_job job, moment at);
  // Returns the room for the long-running tasks of a new job, or nothing if it
  // may be accepted.
  std::optional<standing_room> MissingRoom(const schema::fleet_job& job) const;
  // Returns why a new short job would be useless, see `start_admission`.
  // Otherwise the caller has to submit it.
  std::optional<start_refusal> AdmitStarts(const schema::fleet_job& job,
                                           moment at) {
    return fleet::AdmitStarts(start_admission_, state_, job, at);
  }
  // Returns why a new best-effort job would stand still with the others of its
  // kind, see `work_admission`. Otherwise the caller has to submit it.
  std::optional<work_refusal> AdmitWork(const schema::fleet_job& job,
                                        moment at) {
    return fleet::AdmitWork(work_admission_, state_, job, at);
  }
  // Returns why a new job would cost too much memory, see `job_memory`.
  // Otherwise the caller may submit it.
  std::optional<memory_refusal> AdmitMemory(
      const schema::fleet_job& job) const {
    return memory_.Admit(job);
  }
  // Number of jobs with a due occurrence that waits for memory.
  std::size_t JobsWithoutMemory() const { return memory_.Withheld(); }
  // Counts the short work of all live jobs, for metrics.
  work_sample ShortWork(core::monotonic_time now) const {
    return SampleWork(state_, work_scope::kAllShort, now);
  }
  // Returns false if there is no such job.
  bool Cancel(const std::string& id, moment at);
  // Returns the stored state, or nothing if there is no such job.
  std::optional<schema::fleet_job_state> StoredState(
      const std::string& id) const;
  // Returns the learned interference model for a later leader.
  schema::fleet_sharing SharingRecord() { return sharing_.Model().ToRecord(); }
  void RestoreSharing(const schema::fleet_sharing& record) {
    sharing_.Model().Restore(record);
  }

  // Calls `done` with true once the job's current state is stored, or with
  // false if this leader will not store it.
  void OnceStored(const std::string& id, std::function<void(bool)> done);
  // Returns the number of jobs in the queue of which no task has begun.
  std::size_t CountUnstartedJobs(std::string_view queue) const;

  void SetExecutor(executor_info info);
  void RemoveExecutor(std::string_view id);
  // Records that all changes of executor entries until `as_of` were reported.
  void ConfirmEntries(core::monotonic_time as_of);
  load_levels Levels() const;

  // True if the executor has active runs or unacknowledged ends, is not in
  // contact, or is said to have restarted.
  bool NeedsHold(std::string_view id) const;
  executor_state* FindExecutor(std::string_view id) {
    return state_.FindExecutor(id);
  }
  const std::map<std::string, executor_state, std::less<>>& Executors() const {
    return state_.executors;
  }

  // Handles an executor's response to a hold sent at `sent`.
  void OnHold(std::string_view executor, const hold_report& report,
              core::monotonic_time sent, moment at);
  void OnStartResponse(const start_order& order, start_outcome outcome,
                       moment at);
  // See `step_advice::OnReply`.
  void OnAdvice(const advice_request& request,
                const std::optional<advice_reply>& reply, moment at) {
    advice_.OnReply(request, reply, at);
  }
  step_advice& Advice() { return advice_; }
  const order_deadlines& Deadlines() const { return deadlines_; }
  run_tracker& Runs() { return runs_; }
  fleet_journal& Journal() { return journal_; }
  rebalancer& Rebalancer() { return rebalancer_; }

  // Measures parts of `Plan` with `stages`, which outlive the core; null for
  // none.
  void MeasureProcessor(processor_stages* stages) {
    processor_ = stages;
    planner_.processor = stages;
  }

  // Called with each placed task, for logging.
  std::function<void(const task_state&, moment)> on_placed;

  // Called with each start that has to wait for another hold, for logging.
  std::function<void(const start_order&, moment)> on_start_delayed;

  // See `planner::on_waiting`.
  std::function<void(const task_state&, const placement_rejections&, moment)>
      on_waiting;

  // Returns the executors on which a waiting task comes closest to fitting, and
  // one more that may not get tasks.
  std::vector<executor_room> GapsFor(const task_state& task,
                                     core::monotonic_time now) const;

  // See `capacity_reserve::on_change`.
  std::function<void(const reserve_summary&)> on_reserve_changed;

  // Ends runs whose lease has expired and drops old jobs.
  void Tick(moment at);
  // Places waiting tasks, see `planner::Plan`. Places none if the executor
  // entries are too old.
  bool Plan(moment at, const std::function<bool()>& should_stop = {});
  std::uint64_t Evaluations() const { return planner_.Evaluations(); }
  std::uint64_t ExaminedJobs() const { return planner_.ExaminedJobs(); }
  // Returns the orders to be sent now. Further starts become available when
  // those sent before get their responses, and at `NextStarts`.
  orders TakeOrders(moment at);
  // See `start_queue::RecordLateness`.
  void RecordLateness(core::milliseconds lateness, core::monotonic_time now) {
    state_.starts.RecordLateness(lateness, now);
  }
  // See `start_queue::NextRoom`.
  std::optional<core::monotonic_time> NextStarts() const {
    return state_.starts.NextRoom();
  }

 private:
  // Returns the interrupted tasks.
  std::vector<interrupted_task> UpdateReserve(core::monotonic_time now) {
    const processor_scope scope(processor_, processor_stage::kReserve);
    return reserve_.Update(now);
  }
  // Takes back a start that was not sent: the executor's next report makes it
  // available again.
  void ReturnToPlaced(const start_order& order, moment at);
  // True if the leader was too slow to send the start, so that nothing speaks
  // against its executor.
  bool MayBeSentAgain(const start_order& order, start_outcome outcome,
                      core::monotonic_time now);
  placement_cost PlacementCost();
  placement_epoch PlacementEpoch();
  // True while the first holds to executors with runs have no outcome yet.
  // Until then, the recorded bounds of earlier leaders stay in force.
  bool AwaitsFirstHolds(core::monotonic_time now) const;
  // Returns the bound for executors in contact, if it is recorded at `now`.
  core::monotonic_time HoldBound(core::monotonic_time now) const;
  void DropOldJobs(moment at);
  // Removes deregistered executors that cannot have active runs.
  void DropUnused();
  executor_state& EnsureExecutor(const std::string& id);

  fleet_options options_;
  processor_stages* processor_ = nullptr;
  fleet_state state_;
  job_memory memory_;
  sharing_policy sharing_;
  standing_admission admission_;
  start_admission start_admission_;
  work_admission work_admission_;
  locality distance_;
  // Entries have changed since the last round of planning.
  bool racks_changed_ = false;
  lease_ledger leases_;
  order_deadlines deadlines_;
  run_tracker runs_;
  fleet_journal journal_;
  capacity_reserve reserve_;
  planner planner_;
  rebalancer rebalancer_;
  step_advice advice_;
  // Bounds on the leases that earlier leaders gave.
  lease_lapses inherited_;
  core::monotonic_time restored_at_{};
  // When the leases of all executors that were dropped have lapsed. One of them
  // may come back as it was.
  core::monotonic_time dropped_lease_end_{};
  // The newest lease record repeats `inherited_`.
  bool recorded_inherited_ = false;
  std::unordered_set<std::string> damaged_jobs_;
  // New jobs that no planning round has considered yet.
  std::vector<std::string> unplanned_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_CORE_H_
