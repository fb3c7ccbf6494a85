#include "waxwingfront/fleet/unstored_calls.h"

namespace waxwingfront::fleet {

void unstored_calls::Remove(core::monotonic_time since) {
  const auto found = waiting_.find(since);
  if (found != waiting_.end()) waiting_.erase(found);
}

bool unstored_calls::Hopeless(core::milliseconds left,
                              core::monotonic_time now) const {
  return !waiting_.empty() &&
         now - *waiting_.begin() > left * options_.longest_share;
}

}  // namespace waxwingfront::fleet
