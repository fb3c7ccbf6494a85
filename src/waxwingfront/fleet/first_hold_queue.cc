#include "waxwingfront/fleet/first_hold_queue.h"

#include <algorithm>

#include "waxwingfront/fleet/link_speed.h"

namespace waxwingfront::fleet {
namespace {

// How often the executor that was queued first may be passed over, so that
// executors that fail now and then do not starve one that failed twice.
constexpr std::uint64_t kMaxPassedOver = 7;

}  // namespace

std::size_t MaxFirstHoldsInFlight(double link_mbps,
                                  const first_hold_queue_options& options) {
  const auto bytes = BytesOnLink(link_mbps, options.max_link_time);
  if (!bytes) return options.max_in_flight;
  return std::clamp(*bytes / options.bytes, options.min_in_flight,
                    options.max_in_flight);
}

void first_hold_queue::Add(const std::string& executor, hold_urgency urgency) {
  if (!queued_.insert(executor).second) return;
  pending_.emplace(queue_key{urgency, next_++}, executor);
}

std::optional<std::string> first_hold_queue::TakeNext() {
  if (pending_.empty() || in_flight_ >= max_in_flight_) return std::nullopt;
  const auto oldest = std::ranges::min_element(
      pending_, {}, [](const auto& entry) { return entry.first.second; });
  const auto next = passed_over_ < kMaxPassedOver ? pending_.begin() : oldest;
  passed_over_ = next == oldest ? 0 : passed_over_ + 1;
  std::string executor = std::move(next->second);
  pending_.erase(next);
  queued_.erase(executor);
  ++in_flight_;
  return executor;
}

}  // namespace waxwingfront::fleet
