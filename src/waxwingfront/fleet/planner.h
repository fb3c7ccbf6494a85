// Decides which waiting tasks start now, and where.
#ifndef WAXWINGFRONT_FLEET_PLANNER_H_
#define WAXWINGFRONT_FLEET_PLANNER_H_

#include <cstdint>
#include <functional>
#include <string_view>
#include <tuple>

#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/job_order.h"
#include "waxwingfront/fleet/locality.h"
#include "waxwingfront/fleet/placement.h"

namespace waxwingfront::fleet {

class planner {
 public:
  planner(fleet_state& state, placement_cost cost, locality distance)
      : state_(state), cost_(std::move(cost)), distance_(distance) {}

  // Called with each task that was placed.
  std::function<void(const task_state&, moment)> on_placed;

  // Called now and then for a task that has waited long for a place.
  std::function<void(const task_state&, const placement_refusals&, moment)>
      on_waiting;

  // Places all waiting tasks that are ready and fit: urgent queues first, then
  // jobs that can still be in time, then those due first. A task that fits
  // nowhere holds up only the other tasks of its step. All tasks of a gang are
  // placed, or none. Of queues that are advised, tasks go only where the
  // adviser permits, and advice is asked for.
  void Plan(moment at);

 private:
  struct ranked_job {
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
      return std::tie(left.priority, left.in_turn, left.lasting_image,
                      left.gathers, right.lasting_cpu, left.hope, left.due) <
             std::tie(right.priority, right.in_turn, right.lasting_image,
                      right.gathers, left.lasting_cpu, right.hope, right.due);
    }
  };

  // What the placements of a job's tasks have in common.
  struct job_site {
    std::string_view service;
    bool advised;
  };

  ranked_job Rank(job_state& job, core::monotonic_time now) const;
  void PlanJob(job_state& job, moment at);
  void PlanStep(job_state& job, step_state& step, const job_site& site,
                moment at);
  void PlanTasks(step_state& step, const job_site& site, moment at);
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
  locality distance_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_PLANNER_H_
