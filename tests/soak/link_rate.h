// The rate of one direction of a machine's link.
#ifndef WAXWINGFRONT_TESTS_SOAK_LINK_RATE_H_
#define WAXWINGFRONT_TESTS_SOAK_LINK_RATE_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace waxwingfront::soak {

// Thread-safe. A link that was idle carries no more afterwards.
class link_rate {
 public:
  using clock = std::chrono::steady_clock;

  // Above 0.
  explicit link_rate(double bytes_per_s) : bytes_per_s_(bytes_per_s) {}
  link_rate(const link_rate&) = delete;
  link_rate& operator=(const link_rate&) = delete;

  // Returns when the link has carried `bytes`, after all before them.
  clock::time_point Carry(std::size_t bytes, clock::time_point now);
  std::uint64_t Carried() const { return carried_; }
  // The longest time from the call until bytes were carried.
  clock::duration LongestTime() const;

 private:
  double bytes_per_s_;
  mutable std::mutex mutex_;
  clock::time_point busy_until_;
  clock::duration longest_time_{0};
  std::atomic<std::uint64_t> carried_{0};
};

// For all connections that a machine has opened.
struct machine_link {
  explicit machine_link(double bytes_per_s)
      : to_target(bytes_per_s), to_client(bytes_per_s) {}

  link_rate to_target;
  link_rate to_client;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_LINK_RATE_H_
