// The adviser's permits for a step: which executors may run its tasks.
#ifndef WAXWINGFRONT_FLEET_STEP_PERMITS_H_
#define WAXWINGFRONT_FLEET_STEP_PERMITS_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

// The policy of a step does not change, so a refused executor is not requested
// again. A permit expires and is then requested again.
class step_permits {
 public:
  // True if no request is in flight and the retry delay since the last failure
  // has passed.
  bool MayRequest(core::monotonic_time now) const;
  void RecordRequest(std::vector<std::string> executors,
                     core::monotonic_time now);
  // The request was sent now: until then it may have waited for others.
  void RecordSent(core::monotonic_time now) { requested_at_ = now; }
  void RecordReply(const advice_reply& reply);
  // The request got no response.
  void RecordFailure(core::monotonic_time now);

  // Returns the executor's ticket, or an empty string if there is none that
  // will still be valid when a start arrives.
  std::string_view Ticket(std::string_view executor,
                          core::monotonic_time now) const;
  bool IsRefused(std::string_view executor) const {
    return refused_.contains(executor);
  }
  // Removes a ticket that the executor rejected.
  void RemoveTicket(std::string_view executor);

 private:
  struct permit {
    std::string ticket;
    core::monotonic_time until;
  };

  std::map<std::string, permit, std::less<>> permits_;
  std::set<std::string, std::less<>> refused_;
  std::vector<std::string> requested_;
  core::monotonic_time requested_at_{};
  bool in_flight_ = false;
  core::monotonic_time not_before_{};
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STEP_PERMITS_H_
