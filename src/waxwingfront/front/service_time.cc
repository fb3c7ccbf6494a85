#include "waxwingfront/front/service_time.h"

#include <algorithm>

namespace waxwingfront::front {
namespace {

// Weight of an observation is 1 in 16.
constexpr std::int64_t kWindow = 16;
// A request needs this many halves of the mean time: one and a half times it.
constexpr std::int64_t kNeededHalves = 3;

}  // namespace

void service_time::Observe(std::chrono::nanoseconds taken) {
  const std::int64_t mean = mean_ns_.load(std::memory_order_relaxed);
  const std::int64_t next =
      mean == 0 ? taken.count() : mean + (taken.count() - mean) / kWindow;
  // A lost update of a racing thread only loses one observation.
  mean_ns_.store(std::max<std::int64_t>(next, 1), std::memory_order_relaxed);
}

bool service_time::IsHopeless(std::chrono::nanoseconds left,
                              std::chrono::nanoseconds total) const {
  const std::int64_t mean = mean_ns_.load(std::memory_order_relaxed);
  const std::int64_t needed = std::min(mean * kNeededHalves, total.count()) / 2;
  return left.count() < needed;
}

}  // namespace waxwingfront::front
