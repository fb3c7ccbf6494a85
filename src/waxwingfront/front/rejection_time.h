// How long executors take to reject one request.
#ifndef WAXWINGFRONT_FRONT_REJECTION_TIME_H_
#define WAXWINGFRONT_FRONT_REJECTION_TIME_H_

#include <algorithm>
#include <chrono>

namespace waxwingfront::front {

// A rejection that is still on its way at the request's deadline leaves its
// outcome unknown, while a request that was not sent again certainly did not
// run.
class rejection_time {
 public:
  // Records the time from sending the request to its rejection.
  void OnRejection(std::chrono::nanoseconds elapsed) {
    slowest_ = std::max(slowest_, elapsed);
  }

  // True if another rejection, at up to twice the slowest time so far, would
  // arrive within `left`.
  bool LeavesTimeFor(std::chrono::nanoseconds left) const {
    return left > kSlack * slowest_;
  }

 private:
  static constexpr int kSlack = 2;

  std::chrono::nanoseconds slowest_{0};
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_REJECTION_TIME_H_
