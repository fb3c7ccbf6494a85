#include "soak/link_rate.h"

#include <algorithm>

namespace waxwingfront::soak {

link_rate::clock::time_point link_rate::Carry(std::size_t bytes,
                                              clock::time_point now) {
  const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                           bytes_per_s_);
  carried_ += bytes;
  const std::scoped_lock lock(mutex_);
  busy_until_ = std::max(busy_until_, now) +
                std::chrono::duration_cast<clock::duration>(time);
  longest_time_ = std::max(longest_time_, busy_until_ - now);
  return busy_until_;
}

link_rate::clock::duration link_rate::LongestTime() const {
  const std::scoped_lock lock(mutex_);
  return longest_time_;
}

}  // namespace waxwingfront::soak
