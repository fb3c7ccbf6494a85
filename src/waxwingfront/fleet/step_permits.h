// What an adviser has said of a step: which executors may run its tasks.
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

// The policy of a step does not change, so that a refused executor is not asked
// for again; a permit is over after its time and is then asked for again.
class step_permits {
 public:
  // Whether no question is on its way and the last failure is long enough ago.
  bool MayAsk(core::monotonic_time now) const;
  void Ask(std::vector<std::string> executors, core::monotonic_time now);
  void Answer(const advice_reply& reply);
  // The question had no answer.
  void Fail(core::monotonic_time now);

  // The executor's ticket; empty if there is none that is still valid when a
  // start arrives.
  std::string_view Ticket(std::string_view executor,
                          core::monotonic_time now) const;
  bool Refused(std::string_view executor) const {
    return refused_.contains(executor);
  }
  // The executor did not accept its ticket.
  void RemoveTicket(std::string_view executor);

 private:
  struct permit {
    std::string ticket;
    core::monotonic_time until;
  };

  std::map<std::string, permit, std::less<>> permits_;
  std::set<std::string, std::less<>> refused_;
  std::vector<std::string> asked_;
  core::monotonic_time asked_at_{};
  bool in_flight_ = false;
  core::monotonic_time not_before_{};
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STEP_PERMITS_H_
