// Decides which waiting tasks start now, and where.
#ifndef WAXWINGFRONT_FLEET_PLANNER_H_
#define WAXWINGFRONT_FLEET_PLANNER_H_

#include <cstdint>
#include <functional>
#include <string_view>
#include <tuple>
#include <vector>

#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/job_order.h"
#include "waxwingfront/fleet/locality.h"
#include "waxwingfront/fleet/placement.h"
#include "waxwingfront/fleet/step_places.h"

namespace waxwingfront::fleet {

class planner {
 public:
  planner(fleet_state& state, placement_cost cost, placement_epoch epoch,
          locality distance)
      : state_(state),
        cost_(std::move(cost)),
        epoch_(std::move(epoch)),
        distance_(distance) {}

  // Called with each task that was placed.
  std::function<void(const task_state&, moment)> on_placed;

  // Called now and then for a task that has waited long for a place.
  std::function<void(const task_state&, const placement_rejections&, moment)>
      on_waiting;

  // Places all waiting tasks that are ready and fit: urgent queues first, then
  // jobs that can still be in time, then those due first. A task that fits
  // nowhere holds up only the other tasks of its step. All tasks of a gang are
  // placed, or none. Of queues that are advised, tasks go only where the
  // adviser permits, and advice is asked for. Ends early once `enough` says so,
  // which may be empty: the next round then comes first to the jobs that this
  // one did not reach. Gives whether all were reached.
  bool Plan(moment at, const std::function<bool()>& enough);

  // How many times it was worked out whether and at which cost an executor
  // takes a task.
  std::uint64_t Evaluations() const { return looks_; }

 private:
  struct ranked_job {
    // The present sweep has come to it.
    bool reached;
    int priority;
    // Not a job whose tasks last and have waited long for room.
    bool in_turn;
    // Image of a job whose tasks last, else empty: alike ones are placed
    // together, after short ones, large tasks first.
    std::string_view lasting_image;
    // Tasks that have to be on several executors come first: the others fill
    // what these leave.
    bool gathers;
    std::int64_t lasting_cpu;
    job_hope hope;
    core::monotonic_time due;
    job_state* job;

    friend bool operator<(const ranked_job& left, const ranked_job& right) {
      return std::tie(left.reached, left.priority, left.in_turn,
                      left.lasting_image, left.gathers, right.lasting_cpu,
                      left.hope, left.due) <
             std::tie(right.reached, right.priority, right.in_turn,
                      right.lasting_image, right.gathers, left.lasting_cpu,
                      right.hope, right.due);
    }
  };

  // What the placements of a job's tasks have in common.
  struct job_site {
    std::string_view service;
    bool advised;
  };

  // Finds out which executors have changed since the round before.
  void BeginRound(core::monotonic_time now);
  ranked_job Rank(job_state& job, core::monotonic_time now) const;
  void PlanJob(job_state& job, moment at);
  void PlanStep(job_state& job, step_state& step, const job_site& site,
                moment at);
  void PlanTasks(step_state& step, const job_site& site, moment at);
  // Finds the places for the step's tasks, of which `first` is one that waits.
  void Survey(step_state& step, const task_state& first, const job_site& site,
              moment at);
  // Adds the executor to the places if it is one.
  void Look(executor_state& executor, const task_state& task,
            const job_site& site, moment at);
  // Cost of the task there; infinite if it cannot or should not run there.
  double CostAt(const executor_state& executor, const task_state& task,
                const job_site& site, core::monotonic_time now);
  void PlanGang(step_state& step, const job_site& site, moment at);
  // Places all tasks of the gang if they fit together; on one rack only, if it
  // is not empty.
  bool PlaceGang(step_state& step, const job_site& site, std::string_view rack,
                 moment at);
  // The cheapest executor for the task, on `rack` only if it is not empty.
  executor_state* Choose(const task_state& task, const job_site& site,
                         std::string_view rack, moment at);
  void Place(task_state& task, executor_state& executor, std::uint32_t run,
             moment at);
  void ReportWait(step_state& step, const task_state& waiting,
                  const job_site& site, moment at);
  // Asks for advice on executors that could run the waiting task.
  void AskAdvice(step_state& step, const task_state& waiting,
                 const job_site& site, moment at);

  fleet_state& state_;
  placement_cost cost_;
  placement_epoch epoch_;
  locality distance_;
  std::uint64_t round_ = 0;
  // A sweep comes to each job with waiting tasks once, over one or more rounds.
  std::uint64_t sweep_ = 1;
  std::uint64_t looks_ = 0;
  // Executors that changed between the round before and this one.
  std::vector<executor_state*> changed_;
  step_places places_;
  // The present survey found room at a cost that is too high.
  bool too_costly_ = false;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_PLANNER_H_
