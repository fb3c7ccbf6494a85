#include "waxwingfront/fleet/first_holds.h"

#include <algorithm>

namespace waxwingfront::fleet {

std::size_t FirstHoldsInFlight(double link_mbps,
                               const first_holds_options& options) {
  constexpr double kBytesPerMsAtOneMbps = 125.0;
  if (link_mbps <= 0.0) return options.most_in_flight;
  const double bytes = link_mbps * kBytesPerMsAtOneMbps *
                       static_cast<double>(options.link_time.count());
  const double holds = std::min(bytes / static_cast<double>(options.bytes),
                                static_cast<double>(options.most_in_flight));
  return std::max(static_cast<std::size_t>(holds), options.least_in_flight);
}

void first_holds::Add(const std::string& executor, hold_urgency urgency) {
  if (!queued_.insert(executor).second) return;
  waiting_.emplace(place{urgency, next_++}, executor);
}

std::optional<std::string> first_holds::Take() {
  if (waiting_.empty() || in_flight_ >= most_) return std::nullopt;
  std::string executor = std::move(waiting_.begin()->second);
  waiting_.erase(waiting_.begin());
  queued_.erase(executor);
  ++in_flight_;
  return executor;
}

}  // namespace waxwingfront::fleet
