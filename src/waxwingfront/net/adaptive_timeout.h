// Timeout that follows the observed response times. Intended for calls that are
// repeated until one succeeds: each lost response costs a whole timeout, so the
// timeout should be little longer than responses take.
#ifndef WAXWINGFRONT_NET_ADAPTIVE_TIMEOUT_H_
#define WAXWINGFRONT_NET_ADAPTIVE_TIMEOUT_H_

#include "waxwingfront/core/clock.h"

namespace waxwingfront::net {

struct adaptive_timeout_options {
  core::milliseconds minimum{120};
  core::milliseconds maximum{700};
  // Timeout in multiples of the mean response time.
  double factor = 5.0;
  // Weight of the newest response in the mean.
  double weight = 0.3;
};

class adaptive_timeout {
 public:
  explicit adaptive_timeout(adaptive_timeout_options options)
      : options_(options) {}

  // Returns the timeout for the next call.
  core::milliseconds Current() const;

  // Records the response time of a call and ends the doubling of the timeout.
  void RecordResponse(core::milliseconds elapsed);
  // Doubles the timeout until the next response, because the server may be
  // slow.
  void RecordFailure();

 private:
  adaptive_timeout_options options_;
  double mean_ms_ = 0.0;
  int consecutive_failures_ = 0;
};

}  // namespace waxwingfront::net

#endif  // WAXWINGFRONT_NET_ADAPTIVE_TIMEOUT_H_
