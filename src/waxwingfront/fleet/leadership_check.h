// Asks the store whether this process still leads, for answers that a later
// leader could contradict.
#ifndef WAXWINGFRONT_FLEET_LEADERSHIP_CHECK_H_
#define WAXWINGFRONT_FLEET_LEADERSHIP_CHECK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct leadership_check_options {
  // Minimum time between the beginnings of two reads.
  core::milliseconds read_interval{50};
  // Half of the age that the platform permits for counts.
  core::milliseconds max_age{1000};
};

struct leadership_check_hooks {
  // Returns the revision of the leader key under which this process leads; 0 if
  // it does not.
  std::function<std::int64_t()> token;
  // The key has changed, so that this process no longer leads.
  std::function<void()> on_lost;
  // A check has failed. Optional.
  std::function<void(std::string_view cause)> on_failure;
  // Returns milliseconds on a clock that includes time suspended.
  std::function<std::int64_t()> boot_time_ms;
};

class leadership_check {
 public:
  using callback = std::function<void(bool leads)>;

  leadership_check(net::event_loop& loop, const store_services& store,
                   leadership_check_options options,
                   leadership_check_hooks hooks);
  leadership_check(const leadership_check&) = delete;
  leadership_check& operator=(const leadership_check&) = delete;
  ~leadership_check();

  // Calls `done` with true once a read of the leader key that began after this
  // call has shown that this process leads, and did so all the while; with
  // false if it does not, or if the read fails. Calls that come while a read is
  // in flight share the next one.
  void Confirm(callback done);

  // The same, but a read that began up to `max_age` before suffices.
  void ConfirmRecent(callback done);

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEADERSHIP_CHECK_H_
