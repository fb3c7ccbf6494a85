// How long to wait for an answer, learnt from those that came. Answers lost
// answers: where calls are repeated until one is answered, each loss costs a
// whole wait, so that waits should be little longer than answers take.
#ifndef WAXWINGFRONT_NET_ADAPTIVE_TIMEOUT_H_
#define WAXWINGFRONT_NET_ADAPTIVE_TIMEOUT_H_

#include "waxwingfront/core/clock.h"

namespace waxwingfront::net {

struct adaptive_timeout_options {
  core::milliseconds minimum{120};
  core::milliseconds maximum{700};
  // Wait in multiples of the time that answers take.
  double factor = 5.0;
  // Weight of the newest answer in that time.
  double weight = 0.3;
};

class adaptive_timeout {
 public:
  explicit adaptive_timeout(adaptive_timeout_options options)
      : options_(options) {}

  core::milliseconds Current() const;

  void RecordResponse(core::milliseconds taken);
  // Doubles the wait until the next answer: the other side may be slow.
  void RecordFailure();

 private:
  adaptive_timeout_options options_;
  double usual_ms_ = 0.0;
  int unanswered_ = 0;
};

}  // namespace waxwingfront::net

#endif  // WAXWINGFRONT_NET_ADAPTIVE_TIMEOUT_H_
