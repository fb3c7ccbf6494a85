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

// Minimum remaining validity of a ticket for a placement: a start waits until
// its record is stored and takes some milliseconds to arrive.
inline constexpr core::milliseconds kTicketMargin{400};

// The policy of a step does not change, so a refused executor is not requested
// again. A permit expires and is then requested again.
class step_permits {
 public:
  // True if no request is in flight and the retry delay since the last failure
  // has passed.
  bool MayRequest(core::monotonic_time now) const;
  void RecordRequest(std::vector<std::string> executors,
                     core::monotonic_time now);
  // The request is not sent.
  void Withdraw();
  // Returns false if the reply's permits are all void when it comes. The step
  // is then not requested again at once.
  bool RecordReply(const advice_reply& reply, core::monotonic_time now);
  // The request got no response.
  void RecordFailure(core::monotonic_time now);
  // A task of the step was placed.
  void RecordPlacement() { unused_calls_ = 0; }

  // Returns the executor's ticket, or an empty string if there is none that
  // will be valid for `margin`.
  std::string_view Ticket(std::string_view executor, core::monotonic_time now,
                          core::milliseconds margin = kTicketMargin) const;
  bool IsRefused(std::string_view executor) const {
    return refused_.contains(executor);
  }
  // Removes a ticket that the executor rejected.
  void RemoveTicket(std::string_view executor);

  // Number of calls that failed or brought permits since a task of the step was
  // last placed.
  int UnusedCalls() const { return unused_calls_; }

 private:
  struct permit {
    std::string ticket;
    core::monotonic_time until;
  };

  void Delay(core::monotonic_time now);

  std::map<std::string, permit, std::less<>> permits_;
  std::set<std::string, std::less<>> refused_;
  std::vector<std::string> requested_;
  core::monotonic_time requested_at_{};
  bool in_flight_ = false;
  core::monotonic_time not_before_{};
  // Consecutive calls that failed or brought void permits only.
  int failures_ = 0;
  // The last permits were void when they came.
  bool last_were_void_ = false;
  int unused_calls_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STEP_PERMITS_H_
