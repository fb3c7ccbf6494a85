// What the leader knows of one executor.
#ifndef WAXWINGFRONT_FLEET_EXECUTOR_STATE_H_
#define WAXWINGFRONT_FLEET_EXECUTOR_STATE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/job_order.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

// The executor's clock, sampled by one answer.
struct clock_sample {
  std::int64_t clock_ms = 0;
  // When the request was sent and its answer came.
  core::monotonic_time sent;
  core::monotonic_time received;
};

// Slowest clock of an executor against ours; the platform states 2 %.
inline constexpr double kMinClockRate = 0.98;

// The times between which the executor's clock is. Deadlines to send come from
// the earliest, however long the answer waited on its way or to be read; what
// bounds deadlines that were sent comes from the latest.
std::int64_t EarliestClock(const clock_sample& sample,
                           core::monotonic_time now);
std::int64_t LatestClock(const clock_sample& sample, core::monotonic_time now);

// Whether the executor's clock has passed `deadline_ms` for sure.
bool SurelyPast(const clock_sample& sample, std::int64_t deadline_ms,
                core::monotonic_time now);

// What serving tasks of one image on an executor bear.
struct serving_budget {
  std::string image;
  // Of the image, in `sharing_model`.
  std::size_t index = 0;
  // Utilisation between the highest own load and the target.
  double room = 0.0;
  // What filling tasks take of it at full pace, for each hope those of jobs
  // with as much hope or more: they come first when paces are set.
  std::array<double, kJobHopes> used{};
};

// What `sharing_policy` has worked out for an executor.
struct sharing_view {
  bool fresh = false;
  // Processor thousandths that its tasks use or will use.
  double use_millis = 0.0;
  bool serving = false;
  // How little its serving tasks mind filling ones, from 0 to 1.
  double openness = 1.0;
  // Number of serving images.
  std::size_t images = 0;
  std::vector<serving_budget> budgets;
};

class executor_state {
 public:
  executor_info info;
  // Its entry is in the store.
  bool registered = false;
  // It has answered a hold of this leader in its present incarnation.
  bool reached = false;
  // The last call to it was answered.
  bool in_contact = false;
  // Holds without an answer since the last that had one.
  int unanswered_holds = 0;
  // Tasks with a run that may be there.
  std::vector<task_state*> active;
  // Committed to runs; processor time of filling tasks is not counted.
  core::resources used;

  std::optional<clock_sample> clock;
  // Latest deadline that this leader ever sent, on the executor's clock.
  std::int64_t deadline_sent_ms = 0;
  // When all runs of an earlier leader have lapsed if it is never reached.
  core::monotonic_time unreached_expiry{};

  // Ends up to this number are stored and may be forgotten.
  std::uint64_t acknowledged = 0;
  // When a start was sent so long after the last answer that another
  // incarnation may have got it; until a later hold is answered.
  std::optional<core::monotonic_time> incarnation_uncertain_since;
  // Ends up to this number have been taken in.
  std::uint64_t processed = 0;
  // An end that may be acknowledged once its job's version is stored.
  struct pending_end {
    std::uint64_t number;
    std::string job;
    std::uint64_t version;
  };
  std::deque<pending_end> pending_ends;
  // Job whose storing the first of them waits for; empty if none.
  std::string awaited_job;

  // Not used for new work until then.
  core::monotonic_time avoid_until{};
  // Job that room is kept for until the time below; null for none. Compared
  // only: the job may be gone.
  const job_state* kept_for = nullptr;
  core::monotonic_time kept_until{};
  int consecutive_failures = 0;
  std::string last_failed_job;

  // Utilisation that is kept free below the targets of its serving tasks.
  double margin = 0.0;
  core::monotonic_time margin_at{};

  // Invalid after each change of `active` and each report.
  mutable sharing_view sharing;
  // Active tasks that run until they are stopped, and what is committed to
  // them.
  std::size_t lasting = 0;
  core::resources used_by_lasting;

  // What may make room or a place on it has changed.
  void Touch() {
    touched = true;
    sharing.fresh = false;
  }
  bool touched = true;
  // Round of planning that first saw its latest change.
  std::uint64_t changed_round = 0;
  // Whether a round that begins at `now` finds it changed since the one before.
  bool BeginRound(std::uint64_t round, core::monotonic_time now);

  core::resources Free() const { return info.capacity - used; }
  // What is free once all tasks that end by themselves have ended.
  core::resources FreeLater() const { return info.capacity - used_by_lasting; }
  bool HasLabel(std::string_view label) const;
  bool Usable(core::monotonic_time now) const;
  // Number of the last end that it may forget: none where another incarnation
  // may answer, which counts its ends from 1.
  std::uint64_t ForgettableEnd() const {
    return in_contact && !incarnation_uncertain_since ? acknowledged : 0;
  }
  // Whether its room is kept for another job.
  bool KeptFromJob(const job_state* job, core::monotonic_time now) const {
    return kept_for != nullptr && kept_for != job && now < kept_until;
  }
  // Whether nothing that this or an earlier leader started can still run.
  bool AllLeasesExpired(core::monotonic_time now) const;

  // Whether all its tasks run until they are stopped.
  bool OnlyLongRunning() const;
  // Whether filling tasks are placed beside serving ones.
  bool SharesProcessors() const;

  void Add(task_state& task);
  void Remove(const task_state& task);

 private:
  // As the latest round of planning saw it.
  bool was_usable_ = false;
  const job_state* was_kept_for_ = nullptr;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_EXECUTOR_STATE_H_
