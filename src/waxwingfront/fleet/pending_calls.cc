#include "waxwingfront/fleet/pending_calls.h"

namespace waxwingfront::fleet {

void pending_calls::Remove(core::monotonic_time since) {
  const auto found = waiting_.find(since);
  if (found != waiting_.end()) waiting_.erase(found);
}

bool pending_calls::CannotMeetDeadline(core::milliseconds left,
                                       core::monotonic_time now) const {
  return !waiting_.empty() &&
         now - *waiting_.begin() > left * options_.max_wait_share;
}

}  // namespace waxwingfront::fleet
