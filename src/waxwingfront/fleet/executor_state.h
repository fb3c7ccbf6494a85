// The leader's state of one executor.
#ifndef WAXWINGFRONT_FLEET_EXECUTOR_STATE_H_
#define WAXWINGFRONT_FLEET_EXECUTOR_STATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/executor_health.h"
#include "waxwingfront/fleet/job_deadlines.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

// The executor's clock, sampled from one response.
struct clock_sample {
  std::int64_t clock_ms = 0;
  // When the request was sent and its response arrived.
  core::monotonic_time sent;
  core::monotonic_time received;
};

// Lowest rate of an executor's clock relative to ours; the platform allows a
// drift of 2 %.
inline constexpr double kMinClockRate = 0.98;

// A crashed executor needs at least this long to be back under its id.
inline constexpr core::milliseconds kMinRestartTime{2000};

// Return bounds on the executor's clock in milliseconds. Deadlines to send are
// computed from the earliest value, so that they hold however long the response
// was delayed or unread; bounds on sent deadlines are computed from the latest.
std::int64_t EarliestClock(const clock_sample& sample,
                           core::monotonic_time now);
std::int64_t LatestClock(const clock_sample& sample, core::monotonic_time now);

// Returns when the executor's clock has certainly passed `deadline_ms`.
core::monotonic_time LatestTimeOf(const clock_sample& sample,
                                  std::int64_t deadline_ms);

// True if the executor's clock has certainly passed `deadline_ms`.
bool DefinitelyPast(const clock_sample& sample, std::int64_t deadline_ms,
                    core::monotonic_time now);

// How much interference the serving tasks of one image on an executor
// tolerate.
struct serving_budget {
  std::string image;
  // Index of the image in `sharing_model`.
  std::size_t index = 0;
  // Utilisation between the highest own load and the latency target.
  double headroom = 0.0;
  // Part of it that best-effort tasks use at full pace: for each feasibility
  // level, those of jobs of that level or a better one, because these come
  // first when paces are set.
  std::array<double, kFeasibilityLevels> used{};
};

// Values cached by `sharing_policy` for an executor.
struct sharing_view {
  bool fresh = false;
  // Processor thousandths that its tasks use or are expected to use.
  double use_millis = 0.0;
  bool serving = false;
  // How well its serving tasks tolerate best-effort tasks, from 0 to 1.
  double tolerance = 1.0;
  // Number of serving images.
  std::size_t images = 0;
  std::vector<serving_budget> budgets;
};

// Capacity kept free for one task of a step.
struct capacity_reservation {
  // Identifies the step; never dereferenced, because the job may no longer
  // exist.
  const schema::fleet_step* step = nullptr;
  core::resources amount;
  // Short tasks may use the capacity, because they will have ended when the
  // task needs it. Long-running tasks may not.
  bool open_to_short_tasks = false;

  friend bool operator==(const capacity_reservation&,
                         const capacity_reservation&) = default;
};

class executor_state {
 public:
  // The entry's values, but the incarnation that responds to holds.
  executor_info info;
  // The incarnation that wrote the entry; 0 if the entry does not tell.
  std::int64_t entry_born_ms = 0;
  // The entry is of another incarnation and newer than the last response.
  bool restart_expected = false;
  // Its entry is in the store.
  bool registered = false;
  // It has responded to a hold of this leader in its current incarnation.
  bool reached = false;
  // The last call to it got a response.
  bool in_contact = false;
  // Consecutive holds without a response.
  int unanswered_holds = 0;
  // Tasks with a run that may be active on it.
  std::vector<task_state*> active;
  // Committed to runs, without the processor time of best-effort tasks.
  core::resources used;

  std::optional<clock_sample> clock;
  // Latest deadline that this leader ever sent, on the executor's clock.
  std::int64_t deadline_sent_ms = 0;
  // When all leases that earlier leaders gave have lapsed.
  core::monotonic_time unreached_expiry{};

  // Ends up to this number are stored, and the executor may forget them.
  std::uint64_t acknowledged = 0;
  // Ends up to this number have been processed.
  std::uint64_t processed = 0;
  // An end that may be acknowledged once its job's version is stored.
  struct pending_end {
    std::uint64_t number;
    std::string job;
    std::uint64_t version;
  };
  std::deque<pending_end> pending_ends;
  // Job that must be stored before the first of them can be acknowledged;
  // empty if none.
  std::string awaited_job;

  // When it last stopped a run, see `stop_times`.
  core::monotonic_time last_stop_turn{};

  // No new tasks are placed on it until then.
  core::monotonic_time avoid_until{};
  // The same because runs of several jobs have failed on it, see
  // `executor_health`.
  core::monotonic_time unhealthy_until{};
  // Job for which free capacity is reserved until the time below; null if none.
  // Never dereferenced, because the job may no longer exist.
  const job_state* reserved_for = nullptr;
  core::monotonic_time reserved_until{};
  executor_health health;
  // At least half of the usable executors of its service are not suspect, so
  // that tasks can do without it. Set at the start of each planning round.
  bool peers_are_healthy = false;

  // Utilisation that is kept free below the latency targets of its serving
  // tasks.
  double margin = 0.0;
  core::monotonic_time margin_at{};

  // Invalidated by each change of `active` and each report.
  mutable sharing_view sharing;
  // Number of active tasks that run until they are stopped, and the resources
  // committed to them.
  std::size_t long_running_count = 0;
  core::resources used_by_long_running;

  // Records a change that may affect its free capacity or feasible placements.
  void Touch() {
    touched = true;
    sharing.fresh = false;
  }
  bool touched = true;
  // Planning round that first saw its latest change.
  std::uint64_t changed_round = 0;
  // Begins a planning round. True if it changed since the previous round.
  bool BeginRound(std::uint64_t round, core::monotonic_time now);

  core::resources Free() const { return info.capacity - used; }
  // True if it has free capacity for the task that is reserved for the task's
  // step or not reserved.
  bool HasCapacityFor(const task_state& task) const;
  // Returns the number of reservations for the step that short tasks may not
  // use.
  std::ptrdiff_t ReservedFor(const schema::fleet_step* step) const;
  const std::vector<capacity_reservation>& Reservations() const {
    return reservations_;
  }
  // Returns the sum of all reservations.
  core::resources Reserved() const;
  // Returns the capacity that is free once all tasks that are not long-running
  // have ended.
  core::resources EventuallyFree() const {
    return info.capacity - used_by_long_running;
  }
  bool HasLabel(std::string_view label) const;
  // True if the entry describes the incarnation that responds. A new one may
  // have other labels and another capacity.
  bool MatchesEntry() const {
    return entry_born_ms == 0 || entry_born_ms == info.born_ms;
  }
  // True if it responded so recently that it cannot have been replaced by
  // another incarnation since.
  bool HeldRecently(core::monotonic_time now) const {
    return in_contact && clock && now - clock->sent < kMinRestartTime;
  }
  // True if it has to be held: it has runs or ends to report, or is not known
  // to be in contact.
  bool NeedsHold() const;
  // True if it may get tasks as far as its health permits them.
  bool Available(core::monotonic_time now) const;
  // True if it may get any task.
  bool Usable(core::monotonic_time now) const;
  // True if its health permits another run of the task.
  bool HealthPermits(const task_state& task, core::monotonic_time now) const;
  // True if it may get a run of the task that was placed on it.
  bool MayStart(const task_state& task, core::monotonic_time now) const;
  // Returns the number of the last end that it may forget: 0 if another
  // incarnation may receive it, since that counts its ends from 1.
  std::uint64_t ForgettableEnd(core::monotonic_time now) const {
    return HeldRecently(now) ? acknowledged : 0;
  }
  // Returns how long it certainly stays if it drains: 0 if its entry does not
  // tell, nothing while its clock is unknown or the entry is of another
  // incarnation.
  std::optional<core::milliseconds> StaysFor(core::monotonic_time now) const;
  // True if its free capacity is reserved for another job.
  bool ReservedForOtherJob(const job_state* job,
                           core::monotonic_time now) const {
    return reserved_for != nullptr && reserved_for != job &&
           now < reserved_until;
  }
  // Returns when all leases have lapsed that were given so far.
  core::monotonic_time LeaseEnd() const;
  // True if no run started by this or an earlier leader can still be active.
  bool AllLeasesExpired(core::monotonic_time now) const;

  // True if all its active tasks are long-running.
  bool OnlyLongRunning() const;
  // True if it runs both best-effort and serving tasks.
  bool SharesProcessors() const;

  // Replaces the reservations, see `capacity_reserve`.
  void SetReservations(std::vector<capacity_reservation> reservations);
  // Drops a reservation that is used by the task, if there is one.
  void UseReservation(const task_state& task);

  void Add(task_state& task);
  void Remove(const task_state& task);

 private:
  std::vector<capacity_reservation> reservations_;
  // Values at the latest planning round.
  bool was_available_ = false;
  bool was_usable_ = false;
  bool was_suspect_ = false;
  const job_state* was_reserved_for_ = nullptr;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_EXECUTOR_STATE_H_
