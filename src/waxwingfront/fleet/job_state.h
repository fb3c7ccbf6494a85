// A job, its steps and tasks, in the leader's memory.
#ifndef WAXWINGFRONT_FLEET_JOB_STATE_H_
#define WAXWINGFRONT_FLEET_JOB_STATE_H_

#include <cstdint>
#include <functional>
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
  // Not active: to be placed once its step's turn has come.
  kWaiting,
  // Placed in memory; the store may not have it yet, nothing is sent.
  kPlaced,
  // The start was sent and has no answer.
  kStarting,
  kRunning,
  // Recorded by an earlier leader; its executor has not been asked yet.
  kOrphaned,
  // To be stopped, or its start had no answer.
  kStopping,
  kSucceeded,
};

// How soon the store should learn of a change, soonest first.
enum class store_urgency {
  // Somebody waits for the answer: accepted and cancelled jobs, final states.
  kImmediate,
  // Tasks wait to be started.
  kStart,
  // Ends that executors keep until they are stored.
  kEnd,
  // New jobs that the next round of planning will look at: their placements
  // then go with them.
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

  task_phase phase = task_phase::kWaiting;
  // Newest run and where it was ordered.
  std::uint32_t run = 0;
  std::string executor;
  std::int64_t executor_born_ms = 0;
  std::uint32_t failures = 0;
  std::string checkpoint;

  // When the start was answered or the run was first listed.
  core::monotonic_time confirmed{};
  bool stop_confirmed = false;
  core::monotonic_time stop_confirmed_at{};
  core::monotonic_time stop_sent_at{};
  core::monotonic_time waiting_since{};
  // Version of the job that first held the present placement.
  std::uint64_t placed_version = 0;
  // The executor's last report has the run.
  bool listed = false;
  // Latest figures of the running task.
  int percent = 0;
  core::monotonic_time percent_changed{};
  std::int64_t reported_load = 0;
  // When a serving task's tail was last at or below its target.
  core::monotonic_time last_within_target{};
  int pace_percent = kFullPace;
  // Executor of the last run that failed, to be avoided by the next.
  std::string failed_on;

  bool Active() const {
    return phase != task_phase::kWaiting && phase != task_phase::kSucceeded;
  }
  const schema::fleet_step& Spec() const { return *spec; }
  task_ref Ref() const;
  core::resources Needs() const;
};

// A survey that found no place for a step. Executors that have not changed
// since still offer none.
struct step_refusal {
  // Of the planner; 0 for none.
  std::uint64_t round = 0;
  std::int64_t manifest = 0;
  // Somewhere there was room at a cost that was too high.
  bool by_cost = false;
  // See `placement_epoch`.
  std::optional<std::uint64_t> epoch;
};

struct step_state {
  std::vector<task_state> tasks;
  std::uint32_t succeeded = 0;
  // When its turn was first seen to have come.
  std::optional<core::monotonic_time> ready_since;
  step_refusal refusal;
  // When it was last logged that a task of it waits.
  core::monotonic_time wait_logged{};
  // Where its queue is advised.
  step_permits permits;
  // Last run of a gang whose failure has been counted.
  std::uint32_t failed_run = 0;

  bool Done() const { return succeeded == tasks.size(); }
};

struct occurrence_state {
  std::vector<step_state> steps;
};

// When a job's first task passed each stage; unset before.
struct job_milestones {
  std::optional<core::monotonic_time> stored;
  std::optional<core::monotonic_time> placed;
  std::optional<core::monotonic_time> ordered;
  std::optional<core::monotonic_time> begun;
};

class job_state {
 public:
  job_state(schema::fleet_job spec, core::monotonic_time accepted);
  job_state(const job_state&) = delete;
  job_state& operator=(const job_state&) = delete;

  const schema::fleet_job& Spec() const { return spec_; }
  const std::string& Id() const { return spec_.id(); }
  core::monotonic_time Accepted() const { return accepted_; }

  schema::fleet_job_state State() const { return state_; }
  bool Final() const { return state_ >= schema::FLEET_COMPLETED; }
  std::int64_t EndedUnixMs() const { return ended_unix_ms_; }
  void SetState(schema::fleet_job_state state, std::int64_t now_unix_ms);

  std::vector<occurrence_state>& Occurrences() { return occurrences_; }
  const std::vector<occurrence_state>& Occurrences() const {
    return occurrences_;
  }
  step_state& StepOf(const task_state& task) {
    return occurrences_[task.occurrence].steps[task.step];
  }
  task_state* Find(const task_ref& ref);

  // When the occurrence is due: at acceptance, or at its own time.
  core::monotonic_time DueStart(std::uint32_t occurrence) const;
  // Whether all steps before `step` are done and its time has come.
  bool StepReady(std::uint32_t occurrence, std::uint32_t step,
                 std::int64_t now_unix_ms) const;
  // Whether no task of the job needs to run again.
  bool AllSucceeded() const;
  bool AnyActive() const;
  // Whether callers wait for the store to learn of the job's end.
  bool EndAwaited() const {
    return Final() && stored_state < schema::FLEET_COMPLETED;
  }
  // Whether a task is known to have begun; an order alone says nothing.
  bool AnyBegun() const { return begun_; }
  void SetBegun() { begun_ = true; }

  // Calls `visit` with each task.
  void ForEachTask(const std::function<void(task_state&)>& visit);

  schema::fleet_progress ToRecord() const;
  void Restore(const schema::fleet_progress& record);

  // Changes of the job that the store must learn, see `fleet_journal`.
  std::uint64_t version = 1;
  std::uint64_t stored_version = 0;
  job_milestones milestones;
  // Urgency of changes that no batch carries and of those that one does, see
  // `store_queue`.
  std::optional<store_urgency> pending_urgency;
  std::optional<store_urgency> in_flight_urgency;
  std::uint64_t store_sequence = 0;
  // A round of planning has looked at it.
  bool planned_for = false;
  // Executors that may forget ends once this job's changes are stored.
  std::vector<std::string> ends_kept_at;
  // Its records are being removed.
  bool removing = false;
  std::int64_t job_revision = 0;
  std::int64_t progress_revision = 0;
  // State in the store: the only one that callers are shown.
  schema::fleet_job_state stored_state = schema::FLEET_QUEUED;
  // Sweep of the planner that last came to the job.
  std::uint64_t planned_sweep = 0;
  // Called once a version is stored, or with false if it never will be.
  struct store_callback {
    std::uint64_t version;
    std::function<void(bool)> done;
  };
  std::vector<store_callback> store_callbacks;

 private:
  std::int64_t DueUnixMs(std::uint32_t occurrence) const;

  schema::fleet_job spec_;
  core::monotonic_time accepted_;
  schema::fleet_job_state state_ = schema::FLEET_QUEUED;
  std::int64_t ended_unix_ms_ = 0;
  bool begun_ = false;
  std::vector<occurrence_state> occurrences_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_JOB_STATE_H_
