// Estimate of how long a service takes to answer.
#ifndef WAXWINGFRONT_FRONT_SERVICE_TIME_H_
#define WAXWINGFRONT_FRONT_SERVICE_TIME_H_

#include <atomic>
#include <cstdint>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::front {

// Any number of threads may call it.
class service_time {
 public:
  // Records the time from sending to the whole answer.
  void Observe(std::chrono::nanoseconds taken);

  // Whether a request with `left` of its `total` time would probably not be
  // answered in time, so that sending it would waste a slot. A request with
  // half of its time left is never hopeless: a wrong estimate can thus be
  // corrected by new observations.
  bool IsHopeless(std::chrono::nanoseconds left,
                  std::chrono::nanoseconds total) const;

 private:
  // Exponentially weighted mean; zero before the first observation.
  std::atomic<std::int64_t> mean_ns_{0};
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_SERVICE_TIME_H_
