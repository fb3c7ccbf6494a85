#include "waxwingfront/net/adaptive_timeout.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace waxwingfront::net {

core::milliseconds adaptive_timeout::Current() const {
  const double maximum = static_cast<double>(options_.maximum.count());
  double timeout =
      std::clamp(mean_ms_ * options_.factor,
                 static_cast<double>(options_.minimum.count()), maximum);
  for (int i = 0; i < consecutive_failures_ && timeout < maximum; ++i)
    timeout *= 2.0;
  return core::milliseconds(
      static_cast<std::int64_t>(std::ceil(std::min(timeout, maximum))));
}

void adaptive_timeout::RecordResponse(core::milliseconds elapsed) {
  const auto ms = static_cast<double>(elapsed.count());
  mean_ms_ =
      mean_ms_ == 0.0 ? ms : mean_ms_ + options_.weight * (ms - mean_ms_);
  consecutive_failures_ = 0;
}

void adaptive_timeout::RecordFailure() { ++consecutive_failures_; }

}  // namespace waxwingfront::net
