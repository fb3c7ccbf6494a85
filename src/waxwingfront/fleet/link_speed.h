// Speed of a process's network link.
#ifndef WAXWINGFRONT_FLEET_LINK_SPEED_H_
#define WAXWINGFRONT_FLEET_LINK_SPEED_H_

#include <cstddef>
#include <optional>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

// Returns how many bytes a link of `mbps` Mbit/s carries in `time`; nothing if
// `mbps` is 0, which stands for an unknown speed.
inline std::optional<std::size_t> BytesOnLink(double mbps,
                                              core::milliseconds time) {
  constexpr double kBytesPerMsAtOneMbps = 125.0;
  if (mbps <= 0.0) return std::nullopt;
  return static_cast<std::size_t>(mbps * kBytesPerMsAtOneMbps *
                                  static_cast<double>(time.count()));
}

// Returns how long a link of `mbps` Mbit/s takes to carry `bytes`; 0 if its
// speed is unknown.
inline core::monotonic_time::duration TimeOnLink(double mbps,
                                                 std::size_t bytes) {
  constexpr double kBytesPerSecondAtOneMbps = 125'000.0;
  if (mbps <= 0.0) return {};
  return std::chrono::ceil<core::monotonic_time::duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) /
                                    (mbps * kBytesPerSecondAtOneMbps)));
}

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LINK_SPEED_H_
