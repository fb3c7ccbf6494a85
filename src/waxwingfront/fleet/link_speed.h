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

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LINK_SPEED_H_
