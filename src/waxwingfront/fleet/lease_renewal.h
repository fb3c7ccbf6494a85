// Renews the store lease of the leader key.
#ifndef WAXWINGFRONT_FLEET_LEASE_RENEWAL_H_
#define WAXWINGFRONT_FLEET_LEASE_RENEWAL_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/load_stage.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct lease_renewal_options {
  core::milliseconds interval{400};
  // A renewal without a response after this time is hedged with another one.
  core::milliseconds hedge_delay{200};
  // Renewals in flight at a time.
  int max_in_flight = 3;
  // Delay after all renewals in flight have failed.
  core::milliseconds retry{150};
  // Safety margin at the end of the lease for rounding and clock drift.
  core::milliseconds margin{100};
};

struct lease_renewal_hooks {
  // The store has renewed the lease.
  std::function<void()> on_renewed;
  // The lease has ended.
  std::function<void()> on_ended;
  // Returns milliseconds on a clock that includes time suspended.
  std::function<std::int64_t()> boot_time_ms;
  // Optional.
  stage_hook on_stage;
};

class lease_renewal {
 public:
  lease_renewal(net::event_loop& loop, const store_services& store,
                lease_renewal_options options, lease_renewal_hooks hooks);
  lease_renewal(const lease_renewal&) = delete;
  lease_renewal& operator=(const lease_renewal&) = delete;
  ~lease_renewal();

  // Renews `lease`, whose grant was requested at `granted_ms`, until `Stop`.
  void Start(const store_lease& lease, std::int64_t granted_ms);
  void Stop();

  // True if the lease is valid by the clock of this process.
  bool Valid() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEASE_RENEWAL_H_
