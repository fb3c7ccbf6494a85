// Decides which waiting tasks start now, and on which executors.
#ifndef WAXWINGFRONT_FLEET_PLANNER_H_
#define WAXWINGFRONT_FLEET_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/interrupted_tasks.h"
#include "waxwingfront/fleet/locality.h"
#include "waxwingfront/fleet/placement.h"
#include "waxwingfront/fleet/planning_order.h"
#include "waxwingfront/fleet/processor_stages.h"
#include "waxwingfront/fleet/step_candidates.h"

namespace waxwingfront::fleet {

class planner {
 public:
  planner(fleet_state& state, placement_cost cost, placement_epoch epoch,
          locality distance)
      : state_(state),
        cost_(std::move(cost)),
        epoch_(std::move(epoch)),
        distance_(distance) {}

  // Optional; outlives the planner.
  processor_stages* processor = nullptr;

  // Called with each placed task.
  std::function<void(const task_state&, moment)> on_placed;

  // Called periodically for a task that has waited long for a placement.
  std::function<void(const task_state&, const placement_rejections&, moment)>
      on_waiting;

  // Places all waiting tasks that are ready and fit: ordered by queue priority,
  // then jobs that can still be on time, then by earliest deadline. Tasks among
  // `interrupted` whose reserved capacity is free come before all of them, a
  // limited number in each round; then those that have waited long. A task
  // that fits nowhere delays only the other tasks of its step. The tasks of a
  // gang are placed all together or not at all. Tasks of advised queues are
  // placed only on executors that the adviser permits; missing advice is
  // requested. Stops early once `should_stop` returns true; it may be empty.
  // The next rounds then visit the other jobs, most of them without those that
  // can no longer end while they are useful, and no job waits for good for a
  // visit however many new ones arrive. While the link carries no more starts,
  // jobs that wait with short tasks only are passed over, and the next round
  // begins with the most urgent ones again. Returns true if all other jobs were
  // visited.
  bool Plan(std::span<const interrupted_task> interrupted, moment at,
            const std::function<bool()>& should_stop);

  // Returns how many times the feasibility and cost of a task on an executor
  // were evaluated.
  std::uint64_t Evaluations() const { return evaluations_; }

  // Returns how many times a job was examined to order the visits of a round.
  std::uint64_t ExaminedJobs() const { return examined_jobs_; }

 private:
  // Constraints that the placements of a job's tasks have in common.
  struct placement_scope {
    std::string_view service;
    bool advised;
    // See `MostFreeOfServices`.
    core::resources most_free;
  };

  // Determines which executors have changed since the previous round, and how
  // much capacity is free.
  void BeginRound(core::monotonic_time now);
  // Places interrupted tasks on executors that have capacity reserved for their
  // steps, without comparing executors.
  void PlaceReserved(std::span<const interrupted_task> interrupted, moment at);
  bool PlanQueue(moment at, const std::function<bool()>& should_stop);
  // These return false if they stop before they have visited all jobs.
  bool PlanOverdue(std::span<const ranked_job> jobs, moment at,
                   const std::function<bool()>& should_stop);
  bool PlanSweep(std::span<const ranked_job> queue, moment at,
                 const std::function<bool()>& should_stop);
  bool PlanUseless(std::span<const ranked_job> jobs, moment at,
                   const std::function<bool()>& should_stop);
  // True if the link carries the start of the task in time.
  bool MayPlace(const task_state& task) const {
    return task.Spec().long_running() || !state_.starts.IsFull();
  }
  // True if the round has to stop before its next visit.
  bool MustStop(const std::function<bool()>& should_stop) const;
  void PlanJob(job_state& job, moment at);
  void PlanStep(step_state& step, const placement_scope& scope, moment at);
  // Sets since when the ready step and its tasks have waited.
  static void BeginWait(step_state& step, core::monotonic_time now);
  void PlanTasks(step_state& step, const placement_scope& scope, moment at);
  // Collects the candidates for the step's tasks; `first` is a waiting one.
  void FindCandidates(step_state& step, const task_state& first,
                      const placement_scope& scope, moment at);
  // Adds the executor to the candidates if its cost is finite.
  void AddIfFeasible(executor_state& executor, const task_state& task,
                     const placement_scope& scope, moment at);
  // Returns the cost of the task on the executor; infinite if it cannot or
  // should not run there.
  double CostAt(const executor_state& executor, const task_state& task,
                const placement_scope& scope, core::monotonic_time now);
  void PlanGang(step_state& step, const placement_scope& scope, moment at);
  // Places all tasks of the gang if they fit together, only on `rack` unless it
  // is empty.
  bool PlaceGang(step_state& step, const placement_scope& scope,
                 std::string_view rack, moment at);
  // Returns the cheapest executor for the task, only on `rack` unless it is
  // empty.
  executor_state* ChooseForGang(const task_state& task,
                                const placement_scope& scope,
                                std::string_view rack, moment at);
  void Place(task_state& task, executor_state& executor, std::uint32_t run,
             moment at);
  void ReportWait(step_state& step, const task_state& waiting,
                  const placement_scope& scope, moment at);
  // Requests advice on executors that could run the waiting task.
  void RequestAdvice(step_state& step, const task_state& waiting,
                     const placement_scope& scope, moment at);

  fleet_state& state_;
  placement_cost cost_;
  placement_epoch epoch_;
  locality distance_;
  std::uint64_t round_ = 0;
  // A sweep visits each job with waiting tasks that is not overdue at least
  // once, over one or more rounds; useless jobs only if it takes one round.
  std::uint64_t sweep_ = 1;
  // When its first round began; empty between two sweeps.
  std::optional<core::monotonic_time> sweep_began_;
  // Empty between rounds; kept, so that its memory is reused.
  planning_queue queue_;
  // Visits of the current round, and those of them that compared no executors.
  std::uint64_t visits_ = 0;
  std::uint64_t idle_visits_ = 0;
  // The current visit has compared executors.
  bool compared_ = false;
  // Since the last one that visited all jobs.
  std::uint64_t incomplete_rounds_ = 0;
  // Round in which the current pass over the useless jobs began.
  std::uint64_t useless_pass_ = 0;
  std::uint64_t evaluations_ = 0;
  std::uint64_t examined_jobs_ = 0;
  // Executors that changed between the previous round and this one.
  std::vector<executor_state*> changed_;
  std::map<std::string_view, core::resources> most_free_;
  step_candidates candidates_;
  // The current search found free capacity, but at too high a cost.
  bool too_costly_ = false;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_PLANNER_H_
