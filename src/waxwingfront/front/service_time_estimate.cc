#include "waxwingfront/front/service_time_estimate.h"

#include <algorithm>

namespace waxwingfront::front {
namespace {

// Weight of an observation is 1 in 16.
constexpr std::int64_t kWeightDivisor = 16;
// Time that a request requires, in halves of the mean: one and a half times it.
constexpr std::int64_t kRequiredHalves = 3;

}  // namespace

void service_time_estimate::Observe(std::chrono::nanoseconds elapsed) {
  const std::int64_t mean = mean_ns_.load(std::memory_order_relaxed);
  const std::int64_t next =
      mean == 0 ? elapsed.count()
                : mean + (elapsed.count() - mean) / kWeightDivisor;
  // A race between threads loses a single observation, which is acceptable.
  mean_ns_.store(std::max<std::int64_t>(next, 1), std::memory_order_relaxed);
}

bool service_time_estimate::CannotMeetDeadline(
    std::chrono::nanoseconds left, std::chrono::nanoseconds total) const {
  const std::int64_t mean = mean_ns_.load(std::memory_order_relaxed);
  const std::int64_t needed =
      std::min(mean * kRequiredHalves, total.count()) / 2;
  return left.count() < needed;
}

}  // namespace waxwingfront::front
