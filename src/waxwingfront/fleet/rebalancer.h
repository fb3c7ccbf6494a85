// Moves tasks that should run elsewhere: best-effort tasks that are slowed down
// to protect serving tasks, and long-running tasks on draining executors.
#ifndef WAXWINGFRONT_FLEET_REBALANCER_H_
#define WAXWINGFRONT_FLEET_REBALANCER_H_

#include <functional>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/placement.h"

namespace waxwingfront::fleet {

struct rebalancer_options {
  core::milliseconds period{300};
  // A task whose pace is below this percentage may move.
  int slow_percent = 40;
  // Minimum age of a run that moves, because its pace may still be settling.
  core::milliseconds min_run_age{800};
  // Without checkpoints a move loses the work done: maximum loss in percent.
  int max_lost_percent = 25;
  // Maximum number of moves in one round, since a free executor may be selected
  // for several moves.
  int max_moves = 6;
  // A task moves only to an executor below this cost, see `sharing_policy`.
  double max_target_cost = 1.5;
};

class rebalancer {
 public:
  rebalancer(fleet_state& state, rebalancer_options options,
             placement_cost cost)
      : state_(state), options_(options), cost_(std::move(cost)) {}

  // Called with each task that is stopped to be moved, for logging.
  std::function<void(const task_state&, moment)> on_move;

  // Must be called more often than the period; acts once per period.
  void Run(moment at);

 private:
  // Stops long-running tasks on draining executors, those first whose executor
  // leaves first: tasks for which capacity is reserved and free elsewhere, and
  // all on an executor that leaves before later stops would be known to be
  // over, see `stop_times`. Others run on.
  void Evacuate(moment at);
  bool MayMove(const task_state& task, moment at) const;

  fleet_state& state_;
  rebalancer_options options_;
  placement_cost cost_;
  core::monotonic_time next_{};
  // Executor of the slow task that was considered last.
  std::string last_considered_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_REBALANCER_H_
