// Measures how long tasks take from the end of a run to the begin of the next.
#ifndef WAXWINGFRONT_FLEET_RESTART_STAGES_H_
#define WAXWINGFRONT_FLEET_RESTART_STAGES_H_

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/load_stage.h"

namespace waxwingfront::fleet {

// Only runs of long-running tasks after the first one count. Runs that never
// begin count in the stages that they have reached.
class restart_stages {
 public:
  explicit restart_stages(fleet_state& state) : state_(state) {}

  // May be empty.
  stage_hook on_stage;

  // The task has waited for a placement since its last run ended.
  void OnPlaced(const task_state& task) const;
  // The placement is stored and the executor was held: the start may be sent.
  void OnStartable(task_state& task, core::monotonic_time now) const;
  // The start is sent now, or else given up.
  void OnSendDecided(const start_order& order, core::monotonic_time now) const;
  // The run is known to have begun.
  void OnBegun(task_state& task, core::monotonic_time now) const;

 private:
  static bool Counts(const task_state& task);
  void Report(load_stage stage, core::monotonic_time since,
              core::monotonic_time until) const;

  fleet_state& state_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_RESTART_STAGES_H_
