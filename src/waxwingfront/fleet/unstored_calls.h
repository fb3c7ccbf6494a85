// Calls of callers whose changes are not stored yet: how long the oldest has
// waited is about how long a new one will wait.
#ifndef WAXWINGFRONT_FLEET_UNSTORED_CALLS_H_
#define WAXWINGFRONT_FLEET_UNSTORED_CALLS_H_

#include <set>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct unstored_calls_options {
  // Part of a caller's time that the oldest call may have waited.
  double longest_share = 0.5;
};

class unstored_calls {
 public:
  explicit unstored_calls(unstored_calls_options options) : options_(options) {}

  void Add(core::monotonic_time since) { waiting_.insert(since); }
  void Remove(core::monotonic_time since);

  // Whether a caller with this much time left would wait in vain.
  bool Hopeless(core::milliseconds left, core::monotonic_time now) const;

 private:
  unstored_calls_options options_;
  std::multiset<core::monotonic_time> waiting_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_UNSTORED_CALLS_H_
