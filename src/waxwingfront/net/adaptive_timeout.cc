#include "waxwingfront/net/adaptive_timeout.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace waxwingfront::net {

core::milliseconds adaptive_timeout::Current() const {
  const double maximum = static_cast<double>(options_.maximum.count());
  double wait =
      std::clamp(usual_ms_ * options_.factor,
                 static_cast<double>(options_.minimum.count()), maximum);
  for (int i = 0; i < unanswered_ && wait < maximum; ++i) wait *= 2.0;
  return core::milliseconds(
      static_cast<std::int64_t>(std::ceil(std::min(wait, maximum))));
}

void adaptive_timeout::RecordResponse(core::milliseconds taken) {
  const auto ms = static_cast<double>(taken.count());
  usual_ms_ =
      usual_ms_ == 0.0 ? ms : usual_ms_ + options_.weight * (ms - usual_ms_);
  unanswered_ = 0;
}

void adaptive_timeout::RecordFailure() { ++unanswered_; }

}  // namespace waxwingfront::net
