// Watches the leader's `fleet_leases` record and remembers when each revision
// was first seen, since the record's times count from its writing.
#ifndef WAXWINGFRONT_FLEET_LEASE_OBSERVER_H_
#define WAXWINGFRONT_FLEET_LEASE_OBSERVER_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct lease_observer_options {
  // Maximum duration of one watch, so that a dead connection is detected.
  core::milliseconds watch_timeout{2000};
  core::milliseconds retry{200};
};

class lease_observer {
 public:
  lease_observer(net::event_loop& loop, const store_services& store,
                 lease_observer_options options);
  lease_observer(const lease_observer&) = delete;
  lease_observer& operator=(const lease_observer&) = delete;
  ~lease_observer();

  void Start();

  // Returns when the record's latest revision was seen, or nothing if
  // `revision` is not the latest that was seen.
  std::optional<core::monotonic_time> FirstSeen(std::int64_t revision) const;

  // Time of the store's last response; empty before the first.
  std::optional<core::monotonic_time> LastResponse() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEASE_OBSERVER_H_
