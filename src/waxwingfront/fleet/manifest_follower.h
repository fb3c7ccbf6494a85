// Watches the operators' manifest in the store and caches the newest version.
#ifndef WAXWINGFRONT_FLEET_MANIFEST_FOLLOWER_H_
#define WAXWINGFRONT_FLEET_MANIFEST_FOLLOWER_H_

#include <functional>
#include <memory>
#include <optional>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct manifest_follower_options {
  // Longest duration of one watch call. On a silent connection, or if a watch
  // has lost events, a change is detected after this time plus one read. The
  // platform requires a manifest to be in force within 2 s.
  core::milliseconds watch_timeout{1000};
  core::milliseconds retry{200};
};

class manifest_follower {
 public:
  manifest_follower(net::event_loop& loop, const store_services& store,
                    manifest_follower_options options, logging::event_log& log);
  manifest_follower(const manifest_follower&) = delete;
  manifest_follower& operator=(const manifest_follower&) = delete;
  ~manifest_follower();

  // Called with each newer manifest.
  std::function<void(const manifest&)> on_change;

  void Start();

  // Empty until the store has been read once. Versions never decrease.
  const std::optional<manifest>& Current() const;

  // Time of the store's last response; empty before the first.
  std::optional<core::monotonic_time> LastResponse() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_MANIFEST_FOLLOWER_H_
