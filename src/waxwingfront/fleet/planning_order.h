// Order in which a round of planning visits the jobs with waiting tasks.
#ifndef WAXWINGFRONT_FLEET_PLANNING_ORDER_H_
#define WAXWINGFRONT_FLEET_PLANNING_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <tuple>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/job_deadlines.h"
#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

// A task that has waited this long for capacity is reported, and again each
// time this interval passes. A long-running one then goes first and gets
// capacity reserved, because the platform considers it lost 9 s after its last
// run.
inline constexpr core::milliseconds kLongWait{2000};

struct ranked_job {
  // The current sweep has visited it.
  bool visited;
  int priority;
  // False for a long-running job with a task that has waited long for capacity.
  bool within_wait_limit;
  // Image of a long-running job, else empty. Long-running jobs of one image
  // are placed together, after short jobs, those with large tasks first.
  std::string_view long_running_image;
  // Tasks that may share an executor come after those that must be spread
  // over several, and use the capacity that these leave.
  bool colocatable;
  std::int64_t long_running_cpu;
  deadline_feasibility feasibility;
  core::monotonic_time due;
  // It has been visited before and can no longer end while it is useful.
  bool useless;
  // None of its waiting tasks is long-running.
  bool only_short_tasks;
  // Round that visited it last, or the first one that saw it waiting.
  std::uint64_t last_visit;
  job_state* job;
  // Of an overdue job: when the first of its interrupted tasks came to a
  // standstill.
  core::monotonic_time standing_since{};

  friend bool operator<(const ranked_job& left, const ranked_job& right) {
    return std::tie(left.visited, left.priority, left.within_wait_limit,
                    left.long_running_image, left.colocatable,
                    right.long_running_cpu, left.feasibility, left.due) <
           std::tie(right.visited, right.priority, right.within_wait_limit,
                    right.long_running_image, right.colocatable,
                    left.long_running_cpu, right.feasibility, right.due);
  }
};

// True if the task has waited for capacity for `kLongWait`.
bool WaitsLong(const task_state& task, core::monotonic_time now);

struct planning_queue {
  // Jobs with a long-running task that ran before and has stood still for
  // `kLongWait`, those first that were visited longest ago, then those with the
  // longest standstill.
  std::vector<ranked_job> overdue;
  // All others, in the order in which the sweep visits them.
  std::vector<ranked_job> others;
  // Useless jobs that are kept out of the sweep, those first that were visited
  // longest ago.
  std::vector<ranked_job> useless;

  // Keeps the memory.
  void Clear();
  std::size_t Size() const {
    return overdue.size() + others.size() + useless.size();
  }
};

// Replaces `queue` by the jobs with tasks to place, at the start of `round`.
// The useless ones are among `others` unless `separate_useless` is set.
void QueueWaitingJobs(const fleet_state& state, std::uint64_t sweep,
                      std::uint64_t round, bool separate_useless, moment at,
                      planning_queue& queue);

// Sorts the jobs so that those come first that were visited longest ago; their
// order is otherwise unchanged.
void SortByLastVisit(std::vector<ranked_job>& jobs);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_PLANNING_ORDER_H_
