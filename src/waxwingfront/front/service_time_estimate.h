// Estimate of the response time of a service.
#ifndef WAXWINGFRONT_FRONT_SERVICE_TIME_ESTIMATE_H_
#define WAXWINGFRONT_FRONT_SERVICE_TIME_ESTIMATE_H_

#include <atomic>
#include <cstdint>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::front {

// Thread-safe.
class service_time_estimate {
 public:
  // Records the time from sending a request to its complete response.
  void Observe(std::chrono::nanoseconds elapsed);

  // True if a request with `left` of its `total` time probably cannot meet its
  // deadline, so that sending it would waste a slot. Always false for a request
  // with half of its time left, so that new observations can correct a wrong
  // estimate.
  bool CannotMeetDeadline(std::chrono::nanoseconds left,
                          std::chrono::nanoseconds total) const;

 private:
  // Exponentially weighted mean; zero before the first observation.
  std::atomic<std::int64_t> mean_ns_{0};
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_SERVICE_TIME_ESTIMATE_H_
