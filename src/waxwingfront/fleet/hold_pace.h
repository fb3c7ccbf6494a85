// Pace of holds: they are sent less often while this process or its link is
// late, because holds are most of the load on both.
#ifndef WAXWINGFRONT_FLEET_HOLD_PACE_H_
#define WAXWINGFRONT_FLEET_HOLD_PACE_H_

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct hold_pace_options {
  // Pause between two holds of an executor. It lets several run ends share one
  // response, because each hold has a cost.
  core::milliseconds pause{100};
  core::milliseconds max_pause{400};
  // Maximum wait of a hold to an executor with tasks that end by themselves: a
  // lost response delays the report of their ends by this time plus the slack
  // of a call.
  core::milliseconds busy_wait{300};
  core::milliseconds max_busy_wait{900};
  // Pauses and waits grow in proportion to lateness above this; round trips
  // take up to 40 ms.
  core::milliseconds tolerated_lateness{50};
  // Weight of the newest value in the average lateness.
  double smoothing_factor = 0.05;
};

class hold_pace {
 public:
  explicit hold_pace(hold_pace_options options) : options_(options) {}

  // Records that a timer fired, or a response arrived, this much later than
  // requested.
  void RecordLateness(core::milliseconds lateness);

  core::milliseconds Pause() const;
  core::milliseconds BusyWait() const;

 private:
  core::milliseconds Scaled(core::milliseconds base,
                            core::milliseconds limit) const;

  hold_pace_options options_;
  double average_lateness_ms_ = 0.0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_HOLD_PACE_H_
