// How often executors are held: less often while this process or its link is
// late, as holds are most of their load.
#ifndef WAXWINGFRONT_FLEET_HOLD_PACE_H_
#define WAXWINGFRONT_FLEET_HOLD_PACE_H_

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct hold_pace_options {
  // Pause between two holds of an executor, which gathers ends: each hold has
  // a price.
  core::milliseconds pause{100};
  core::milliseconds longest_pause{400};
  // Longest wait of a hold where tasks run that end: an answer that is lost
  // delays their ends by this much and the slack of a call.
  core::milliseconds busy_wait{300};
  core::milliseconds longest_busy_wait{900};
  // Pauses and waits grow in proportion to lateness above this; round trips
  // take up to 40 ms.
  core::milliseconds easy_lateness{50};
  // Weight of the newest figure in the usual lateness.
  double weight = 0.05;
};

class hold_pace {
 public:
  explicit hold_pace(hold_pace_options options) : options_(options) {}

  // A timer fired, or an answer came, this much later than was asked for.
  void Late(core::milliseconds lateness);

  core::milliseconds Pause() const;
  core::milliseconds BusyWait() const;

 private:
  core::milliseconds Slowed(core::milliseconds usual,
                            core::milliseconds longest) const;

  hold_pace_options options_;
  double usual_lateness_ms_ = 0.0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_HOLD_PACE_H_
