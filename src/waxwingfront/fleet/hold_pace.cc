#include "waxwingfront/fleet/hold_pace.h"

#include <algorithm>

namespace waxwingfront::fleet {

void hold_pace::Late(core::milliseconds lateness) {
  usual_lateness_ms_ +=
      options_.weight *
      (static_cast<double>(lateness.count()) - usual_lateness_ms_);
}

core::milliseconds hold_pace::Pause() const {
  return Slowed(options_.pause, options_.longest_pause);
}

core::milliseconds hold_pace::BusyWait() const {
  return Slowed(options_.busy_wait, options_.longest_busy_wait);
}

core::milliseconds hold_pace::Slowed(core::milliseconds usual,
                                     core::milliseconds longest) const {
  const double factor =
      std::max(1.0, usual_lateness_ms_ /
                        static_cast<double>(options_.easy_lateness.count()));
  const auto slowed =
      std::chrono::duration_cast<core::milliseconds>(usual * factor);
  return std::min(slowed, std::max(usual, longest));
}

}  // namespace waxwingfront::fleet
