// The leader's decisions: events and the time in, orders and records out. It
// knows no network and no clock of its own.
#ifndef WAXWINGFRONT_FLEET_FLEET_CORE_H_
#define WAXWINGFRONT_FLEET_FLEET_CORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/fleet/fleet_journal.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/load_monitor.h"
#include "waxwingfront/fleet/order_deadlines.h"
#include "waxwingfront/fleet/planner.h"
#include "waxwingfront/fleet/rebalancer.h"
#include "waxwingfront/fleet/run_tracker.h"
#include "waxwingfront/fleet/sharing_policy.h"

namespace waxwingfront::fleet {

struct fleet_options {
  order_deadline_options deadlines;
  // Executors shorten any deadline to this far ahead of its arrival.
  core::milliseconds longest_hold{10'000};
  // Time that the store gives a leader between renewals.
  core::milliseconds leader_lease{1500};
  // How long a final job can be asked for.
  core::milliseconds retention{150'000};
  // How many times as long a task takes away from its data.
  double remote_factor = 1.0;
  run_tracker_options runs;
};

enum class submission { kNew, kKnown };

class fleet_core {
 public:
  explicit fleet_core(fleet_options options);

  void SetManifest(manifest wanted);
  const manifest& Manifest() const { return state_.current_manifest; }

  // Takes in a job that the store has, after a take-over.
  void Restore(schema::fleet_job job, std::int64_t job_revision,
               const std::optional<schema::fleet_progress>& progress,
               std::int64_t progress_revision, moment at);
  // All jobs and executors of the store are known. Runs of executors that have
  // not answered by then count as over at `claimed` plus lease and longest
  // hold.
  void FinishRestore(moment claimed);

  bool HasJob(const std::string& id) const { return state_.jobs.contains(id); }
  submission Submit(schema::fleet_job job, moment at);
  // Whether there is such a job.
  bool Cancel(const std::string& id, moment at);
  // The state that the store has; nothing if there is no such job.
  std::optional<schema::fleet_job_state> StoredState(
      const std::string& id) const;
  // What was learnt of tasks that share executors, for a later leader.
  schema::fleet_sharing SharingRecord() { return sharing_.Model().ToRecord(); }
  void RestoreSharing(const schema::fleet_sharing& record) {
    sharing_.Model().Restore(record);
  }

  // Calls `done` once the job's present state is stored, or with false if this
  // leader will not get to store it.
  void OnceStored(const std::string& id, std::function<void(bool)> done);
  // Jobs of the queue without a task that has begun.
  std::size_t CountUnstartedJobs(std::string_view queue) const;

  void SetExecutor(executor_info info);
  void RemoveExecutor(std::string_view id);
  // All changes of executors' entries until `as_of` have been told.
  void ConfirmEntries(core::monotonic_time as_of);
  load_levels Levels() const;

  // Executors to be held: those with work or with ends to be forgotten.
  bool NeedsHold(std::string_view id) const;
  static bool NeedsHold(const executor_state& executor);
  executor_state* FindExecutor(std::string_view id) {
    return state_.FindExecutor(id);
  }
  const std::map<std::string, executor_state, std::less<>>& Executors() const {
    return state_.executors;
  }

  // An executor answered a hold sent at `sent`.
  void OnHold(std::string_view executor, const hold_report& report,
              core::monotonic_time sent, moment at);
  void OnStartResponse(const start_order& order, start_outcome outcome,
                       moment at);
  // The adviser answered, or nothing if it did not.
  void OnAdvice(const advice_request& request,
                const std::optional<advice_reply>& reply, moment at);
  const order_deadlines& Deadlines() const { return deadlines_; }
  run_tracker& Runs() { return runs_; }
  fleet_journal& Journal() { return journal_; }
  rebalancer& Rebalancer() { return rebalancer_; }

  // Called with each task that was placed, for logs.
  std::function<void(const task_state&, moment)> on_placed;

  // See `planner::on_waiting`.
  std::function<void(const task_state&, const placement_rejections&, moment)>
      on_waiting;

  // Lets lapsed runs end and drops old jobs.
  void Tick(moment at);
  // Places waiting tasks, see `planner::Plan`; none on executors' entries that
  // are too old.
  bool Plan(moment at, const std::function<bool()>& enough = {});
  std::uint64_t Evaluations() const { return planner_.Evaluations(); }
  orders TakeOrders();

 private:
  placement_cost PlacementCost();
  placement_epoch PlacementEpoch();
  void DropOldJobs(moment at);
  // Forgets executors that have left and on which nothing may run.
  void DropUnused();
  executor_state& EnsureExecutor(const std::string& id);

  fleet_options options_;
  fleet_state state_;
  sharing_policy sharing_;
  locality distance_;
  order_deadlines deadlines_;
  run_tracker runs_;
  fleet_journal journal_;
  planner planner_;
  rebalancer rebalancer_;
  core::monotonic_time unreached_expiry_{};
  // New jobs that no round of planning has looked at.
  std::vector<std::string> unplanned_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_CORE_H_
