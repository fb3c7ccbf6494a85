// In-memory state of a job, its steps and tasks.
#ifndef WAXWINGFRONT_FLEET_JOB_STATE_H_
#define WAXWINGFRONT_FLEET_JOB_STATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/step_permits.h"
#include "waxwingfront/fleet/types.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

class job_state;

enum class task_phase {
  // Not active: placed once its step is ready.
  kWaiting,
  // Placed in memory; possibly not stored yet, and the start is not sent.
  kPlaced,
  // The start was sent and has no response.
  kStarting,
  kRunning,
  // Recorded by an earlier leader; its executor has not been contacted yet.
  kOrphaned,
  // To be stopped, or its start got no response.
  kStopping,
  kSucceeded,
};

// How soon a change should be stored, most urgent first.
enum class store_urgency {
  // A caller waits for the response: accepted and cancelled jobs, final states.
  kImmediate,
  // Interrupted long-running tasks are waiting to be started again.
  kRestart,
  // Tasks are waiting to be started.
  kStart,
  // Ends that executors retain until they are stored.
  kEnd,
  // New jobs that the next planning round will consider: their placements are
  // then stored with them.
  kAfterPlanning,
};

// Paces in percent of a task's full speed.
inline constexpr int kFullPace = 100;
inline constexpr int kUnknownPace = -1;

struct task_state {
  job_state* job = nullptr;
  const schema::fleet_step* spec = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  // Newest run and the executor that it was ordered on.
  std::uint32_t run = 0;
  std::string executor;
  std::int64_t executor_born_ms = 0;
  std::uint32_t failures = 0;
  std::string checkpoint;

  // When the start was acknowledged or the run was first reported.
  core::monotonic_time confirmed{};
  bool stop_confirmed = false;
  core::monotonic_time stop_confirmed_at{};
  core::monotonic_time stop_sent_at{};
  // When the stop of the present run was ordered, if it was active then.
  core::monotonic_time stop_ordered_at{};
  // When it began to wait for its next placement.
  core::monotonic_time waiting_since{};
  // The same, but not changed by runs that never began.
  core::monotonic_time interrupted_since{};
  // When its newest run was placed.
  core::monotonic_time placed_at{};
  // When its newest run could first be started, and when the start was sent;
  // set by `restart_stages` for runs that it measures.
  core::monotonic_time startable_at{};
  core::monotonic_time start_sent_at{};
  // This leader knows since when the task waits: it saw the last run end.
  bool end_seen = false;
  // First version of the job that contains the current placement.
  std::uint64_t placed_version = 0;
  // Its share of the backlog of `start_queue`.
  std::size_t start_backlog_bytes = 0;
  // The executor's last report contains the run.
  bool listed = false;
  // Latest reported values of the running task.
  int percent = 0;
  core::monotonic_time percent_changed{};
  std::int64_t reported_load = 0;
  // When a serving task's tail latency was last at or below its target.
  core::monotonic_time last_within_target{};
  int pace_percent = kFullPace;
  // Executor of the last failed run, which the next run avoids.
  std::string failed_on;

  task_phase Phase() const { return phase_; }
  // Keeps the counts of the task's step and job.
  void SetPhase(task_phase phase);
  bool Active() const {
    return phase_ != task_phase::kWaiting && phase_ != task_phase::kSucceeded;
  }
  // True if the run, if it exists at all, was on its executor before a hold
  // was sent that did not reach this executor. A start in flight gets a
  // response of its own.
  bool ConfirmedBefore(core::monotonic_time sent) const;
  // For a task that is not active: true if it is long-running and has been
  // ordered before, so that its users wait for the next run.
  bool IsInterrupted() const { return Spec().long_running() && run > 0; }
  // True if the newest run is known to have begun.
  bool HasBegun() const { return confirmed >= placed_at; }
  // Returns for how long the newest run has held its executor.
  core::milliseconds RunTime(core::monotonic_time now) const;
  const schema::fleet_step& Spec() const { return *spec; }
  task_ref Ref() const;
  core::resources Needs() const;

 private:
  task_phase phase_ = task_phase::kWaiting;
};

// A search that found no feasible placement for a step. Executors that have not
// changed since still offer none.
struct failed_search {
  // Planning round; 0 if there was no such search.
  std::uint64_t round = 0;
  std::int64_t manifest = 0;
  // An executor had free capacity, but at too high a cost.
  bool rejected_by_cost = false;
  // See `placement_epoch`.
  std::optional<std::uint64_t> epoch;
};

struct step_state {
  std::vector<task_state> tasks;
  // Tasks in these phases, see `task_state::SetPhase`.
  std::uint32_t waiting = 0;
  std::uint32_t succeeded = 0;
  // When it was first found to be ready.
  std::optional<core::monotonic_time> ready_since;
  failed_search last_failed_search;
  // When a waiting task of it was last logged.
  core::monotonic_time wait_logged{};
  // Used if its queue is advised.
  step_permits permits;
  // Last run of a gang whose failure has been counted.
  std::uint32_t failed_run = 0;

  bool Done() const { return succeeded == tasks.size(); }
  std::size_t CountActive() const { return tasks.size() - waiting - succeeded; }
};

// Sums of estimated times along the longest path through an occurrence's steps.
struct path_lengths {
  core::milliseconds total{0};
  // Without the steps that are done.
  core::milliseconds remaining{0};
};

struct occurrence_state {
  std::vector<step_state> steps;
  // Empty until it is needed, see `job_state::CriticalPath`.
  mutable std::optional<path_lengths> critical_path;
};

// When a job's first task reached each stage.
struct job_milestones {
  std::optional<core::monotonic_time> stored;
  std::optional<core::monotonic_time> placed;
  std::optional<core::monotonic_time> ordered;
  std::optional<core::monotonic_time> begun;
};

// When a job that runs once gets the state of its tasks.
enum class occurrence_creation {
  kImmediate,
  // By `job_state::MakeOccurrence`, as every occurrence of a repeating job.
  kDeferred,
};

class job_state {
 public:
  job_state(schema::fleet_job spec, core::monotonic_time accepted,
            occurrence_creation first = occurrence_creation::kImmediate);
  job_state(const job_state&) = delete;
  job_state& operator=(const job_state&) = delete;

  const schema::fleet_job& Spec() const { return spec_; }
  const std::string& Id() const { return spec_.id(); }
  core::monotonic_time Accepted() const { return accepted_; }
  // The job's queue when it was accepted; null if its settings were not
  // recorded.
  const queue_spec* QueueAtAcceptance() const {
    return queue_ ? &*queue_ : nullptr;
  }

  schema::fleet_job_state State() const { return state_; }
  bool Final() const { return state_ >= schema::FLEET_COMPLETED; }
  void SetState(schema::fleet_job_state state, std::int64_t now_unix_ms);

  // Number of occurrences, most of which have no state: they are not due yet,
  // or they are over.
  std::uint32_t OccurrenceCount() const {
    return static_cast<std::uint32_t>(over_.size());
  }
  using occurrence_states = std::map<std::uint32_t, occurrence_state>;
  // Occurrences with state, by number.
  occurrence_states& Occurrences() { return occurrences_; }
  const occurrence_states& Occurrences() const { return occurrences_; }
  // Returns the first occurrence that has had no state yet; empty if all have,
  // or if the job is final.
  std::optional<std::uint32_t> NextOccurrence() const;
  // Makes the state of an occurrence that is not over, if it has none.
  void MakeOccurrence(std::uint32_t occurrence);
  // Frees the states of occurrences that are over, and of all if the job is
  // final and no task is active. References to their tasks become invalid.
  void FreeEndedOccurrences();
  // True if all tasks of the occurrence have succeeded.
  bool IsOver(std::uint32_t occurrence) const;
  // Returns the earliest occurrence that is not over, or the last one if all
  // are.
  std::uint32_t FirstIncomplete() const;
  // Number of tasks of one occurrence.
  std::size_t TasksPerOccurrence() const { return tasks_per_occurrence_; }
  // The step's occurrence has state.
  step_state& StepOf(const task_state& task) {
    return occurrences_.find(task.occurrence)->second.steps[task.step];
  }
  // Returns null if there is no such task or it has no state.
  task_state* Find(const task_ref& ref);

  // Returns when the occurrence is due to start: at acceptance, or at its
  // scheduled time.
  core::monotonic_time DueStart(std::uint32_t occurrence) const;
  std::int64_t DueUnixMs(std::uint32_t occurrence) const;
  // True if all steps that `step` depends on are done and the occurrence is
  // due.
  bool StepReady(std::uint32_t occurrence, std::uint32_t step,
                 std::int64_t now_unix_ms) const;
  // True if a step that is ready has a waiting task.
  bool AnyReadyTaskWaits(std::int64_t now_unix_ms) const;
  // Number of waiting tasks with state, and of those that are long-running.
  std::size_t WaitingTasks() const { return waiting_; }
  std::size_t WaitingLongRunning() const { return waiting_long_running_; }
  path_lengths CriticalPath(std::uint32_t occurrence) const;
  // True if all tasks of the job have succeeded.
  bool AllSucceeded() const;
  bool AnyActive() const;
  // True if the job is final but its final state is not stored yet, which
  // callers wait for.
  bool FinalStatePending() const {
    return Final() && stored_state < schema::FLEET_COMPLETED;
  }
  // True if its records may be removed `retention` after its end.
  bool RetentionOver(core::milliseconds retention,
                     core::monotonic_time now) const;
  // True if a task is known to have begun; a sent order is not sufficient.
  bool AnyBegun() const { return begun_; }
  void SetBegun() { begun_ = true; }

  // Calls `visit` with each task that has state.
  void ForEachTask(const std::function<void(task_state&)>& visit);

  schema::fleet_progress ToRecord() const;
  void Restore(const schema::fleet_progress& record);

  // Version of the job in memory and in the store, see `fleet_journal`.
  std::uint64_t version = 1;
  std::uint64_t stored_version = 0;
  job_milestones milestones;
  // Urgency of changes that are pending and of those in an unfinished batch,
  // see `store_queue`.
  std::optional<store_urgency> pending_urgency;
  std::optional<store_urgency> in_flight_urgency;
  std::uint64_t store_sequence = 0;
  // An executor rejected a start for want of a permit, so that the job is
  // advised whatever is known of its queue.
  bool needs_permits = false;
  // A planning round has considered it.
  bool planning_attempted = false;
  // Executors whose ends are acknowledged once this job's changes are stored.
  std::vector<std::string> executors_awaiting_ack;
  // From when its records are kept for callers: its end, or the takeover of a
  // later leader, whose Unix time may differ from that of the former one.
  std::optional<core::monotonic_time> retained_since;
  // Its records are being removed.
  bool removing = false;
  // A write of its records had no response, and none was stored since.
  bool write_unanswered = false;
  // Until then, writes without a response may take effect, as far as the
  // records are as the writes expect.
  core::monotonic_time late_writes_until{};
  // Time that its ended runs of short tasks have held executors, as far as this
  // leader saw them.
  core::milliseconds executor_time{0};
  std::int64_t job_revision = 0;
  std::int64_t progress_revision = 0;
  // State in the store, the only one that is visible to callers.
  schema::fleet_job_state stored_state = schema::FLEET_QUEUED;
  // The planner's last sweep that visited the job.
  std::uint64_t planned_sweep = 0;
  // The planner's last round that visited the job, or the first one that saw it
  // waiting.
  std::uint64_t planned_round = 0;
  // Called with true once a version is stored, or with false if it never will
  // be.
  struct store_callback {
    std::uint64_t version;
    std::function<void(bool)> done;
  };
  std::vector<store_callback> store_callbacks;

 private:
  friend struct task_state;

  void CountPhase(const task_state& task, task_phase from, task_phase to);
  void CountWaiting(const task_state& task, bool waits);
  // Returns the critical path of an occurrence; `one` is null if it has no
  // state.
  path_lengths ComputePath(const occurrence_state* one, bool over) const;
  void SetOver(std::uint32_t occurrence);
  // Moves `next_` past occurrences that are over or have state.
  void PassMade();
  void ListDone(std::uint32_t occurrence, schema::fleet_progress& record) const;
  void ListTasks(const occurrence_state& occurrence,
                 schema::fleet_progress& record) const;
  void RestoreTask(const schema::fleet_task& entry);

  schema::fleet_job spec_;
  std::optional<queue_spec> queue_;
  core::monotonic_time accepted_;
  schema::fleet_job_state state_ = schema::FLEET_QUEUED;
  std::int64_t ended_unix_ms_ = 0;
  bool begun_ = false;
  occurrence_states occurrences_;
  // Occurrences that are over and have no state.
  std::vector<bool> over_;
  std::uint32_t over_count_ = 0;
  // All occurrences before this one are over or have state.
  std::uint32_t next_ = 0;
  std::size_t tasks_per_occurrence_;
  std::size_t waiting_ = 0;
  std::size_t waiting_long_running_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_JOB_STATE_H_
