#include "waxwingfront/fleet/unread_responses.h"

#include <cmath>
#include <utility>

namespace waxwingfront::fleet {

double unread_responses::Kept(core::monotonic_time::duration elapsed) const {
  return std::exp(-(fractional_ms(elapsed) / fractional_ms(options_.memory)));
}

void unread_responses::RecordLateness(core::milliseconds lateness,
                                      core::monotonic_time now) {
  lateness_ =
      std::max<fractional_ms>(lateness, lateness_ * Kept(now - lateness_at_));
  lateness_at_ = now;
}

void unread_responses::OnRead(std::size_t bytes) {
  present_.bytes += bytes;
  present_.largest = std::max(present_.largest, bytes);
}

void unread_responses::EndReading(core::monotonic_time now) {
  if (present_.bytes == 0) return;
  present_.end = now;
  earlier_.push_back(std::exchange(present_, {}));
  const fractional_ms lateness = lateness_ * Kept(now - lateness_at_);
  std::size_t waited = 0;
  std::size_t largest = 0;
  std::erase_if(earlier_, [now, lateness](const reading& one) {
    return one.end < now && one.end + lateness <= now;
  });
  for (const reading& one : earlier_) {
    waited += one.bytes;
    largest = std::max(largest, one.largest);
  }
  // One of the responses may have come just now.
  waited -= largest;
  const auto remembered = static_cast<std::size_t>(
      static_cast<double>(estimate_) * Kept(now - estimated_at_));
  estimate_ = std::min(std::max(waited, remembered), options_.max_bytes);
  estimated_at_ = now;
}

void unread_responses::Add(std::uint64_t start, std::size_t bytes) {
  starts_.emplace(start, bytes);
  bytes_ += bytes;
}

std::size_t unread_responses::Remove(std::uint64_t start) {
  const auto found = starts_.find(start);
  if (found == starts_.end()) return 0;
  const std::size_t bytes = found->second;
  bytes_ -= bytes;
  starts_.erase(found);
  return bytes;
}

void unread_responses::RemoveBefore(std::uint64_t start) {
  while (!starts_.empty() && starts_.begin()->first < start) {
    Remove(starts_.begin()->first);
  }
}

}  // namespace waxwingfront::fleet
