#include "waxwingfront/fleet/hold_pace.h"

#include <algorithm>

namespace waxwingfront::fleet {

void hold_pace::RecordLateness(core::milliseconds lateness) {
  average_lateness_ms_ +=
      options_.smoothing_factor *
      (static_cast<double>(lateness.count()) - average_lateness_ms_);
}

core::milliseconds hold_pace::Pause() const {
  return Scaled(options_.pause, options_.max_pause);
}

core::milliseconds hold_pace::BusyWait() const {
  return Scaled(options_.busy_wait, options_.max_busy_wait);
}

core::milliseconds hold_pace::Scaled(core::milliseconds base,
                                     core::milliseconds limit) const {
  const double factor = std::max(
      1.0, average_lateness_ms_ /
               static_cast<double>(options_.tolerated_lateness.count()));
  const auto scaled =
      std::chrono::duration_cast<core::milliseconds>(base * factor);
  return std::min(scaled, std::max(base, limit));
}

}  // namespace waxwingfront::fleet
