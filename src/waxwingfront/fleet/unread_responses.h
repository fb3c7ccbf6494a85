// Starts whose responses may have arrived and wait until this process reads
// them.
#ifndef WAXWINGFRONT_FLEET_UNREAD_RESPONSES_H_
#define WAXWINGFRONT_FLEET_UNREAD_RESPONSES_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct unread_responses_options {
  // Limit on the estimate.
  std::size_t max_bytes = 0;
  // Time constant with which the estimate is forgotten.
  core::milliseconds memory{1000};
};

// Estimates them by the size of the starts whose responses are read at once, or
// within the time by which the process is late. A process that is not late
// reads responses one by one, even from a slow link: those that come together
// may have waited for the process, not for the link.
class unread_responses {
 public:
  explicit unread_responses(unread_responses_options options)
      : options_(options) {}

  // Records that a timer of this process fired so much later than requested.
  void RecordLateness(core::milliseconds lateness, core::monotonic_time now);
  // Records that the response to a start of this size was read.
  void OnRead(std::size_t bytes);
  // Called whenever starts may be sent. Responses since the last call count as
  // read at once.
  void EndReading(core::monotonic_time now);

  // Returns the size of further starts whose responses may be unread.
  std::size_t Room() const { return estimate_ - std::min(bytes_, estimate_); }
  void Add(std::uint64_t start, std::size_t bytes);
  // Removes the start and returns its size; 0 if it was not added.
  std::size_t Remove(std::uint64_t start);
  // Removes all starts with lower numbers.
  void RemoveBefore(std::uint64_t start);

 private:
  using fractional_ms = std::chrono::duration<double, std::milli>;
  struct reading {
    core::monotonic_time end;
    std::size_t bytes = 0;
    std::size_t largest = 0;
  };

  // Returns the part of a value that is remembered after `elapsed`.
  double Kept(core::monotonic_time::duration elapsed) const;

  unread_responses_options options_;
  // Lateness of the process when it was last recorded.
  fractional_ms lateness_{0};
  core::monotonic_time lateness_at_{};
  std::size_t estimate_ = 0;
  core::monotonic_time estimated_at_{};
  // The present reading, and earlier ones within the lateness.
  reading present_;
  std::deque<reading> earlier_;
  // Sizes by the numbers of the starts, and their sum.
  std::map<std::uint64_t, std::size_t> starts_;
  std::size_t bytes_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_UNREAD_RESPONSES_H_
