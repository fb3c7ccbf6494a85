// Calls whose changes are not yet persisted. The age of the oldest one is an
// estimate of how long a new call will wait.
#ifndef WAXWINGFRONT_FLEET_PENDING_CALLS_H_
#define WAXWINGFRONT_FLEET_PENDING_CALLS_H_

#include <set>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct pending_calls_options {
  // Largest age of the oldest call, as a share of a new caller's remaining
  // time.
  double max_wait_share = 0.5;
};

class pending_calls {
 public:
  explicit pending_calls(pending_calls_options options) : options_(options) {}

  void Add(core::monotonic_time since) { waiting_.insert(since); }
  void Remove(core::monotonic_time since);

  // True if a caller with `left` time until its deadline would time out.
  bool CannotMeetDeadline(core::milliseconds left,
                          core::monotonic_time now) const;

 private:
  pending_calls_options options_;
  std::multiset<core::monotonic_time> waiting_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_PENDING_CALLS_H_
