// Keeps the leader's `fleet_leases` record in the store.
#ifndef WAXWINGFRONT_FLEET_LEASE_RECORDER_H_
#define WAXWINGFRONT_FLEET_LEASE_RECORDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_core.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct lease_recorder_options {
  // Time between two versions of the record. Leases are shorter by up to this
  // time, and so is the time that running work survives without the store.
  core::milliseconds period{500};
  core::milliseconds retry{100};
};

struct lease_recorder_hooks {
  std::function<bool()> may_order;
  std::function<moment()> now;
  // Returns when this process first saw the record's revision, if it did.
  std::function<std::optional<core::monotonic_time>(std::int64_t revision)>
      first_seen;
  // Returns for how long the machine has been suspended, which the monotonic
  // clock does not count. Optional.
  std::function<core::milliseconds()> suspended;
  // Another process leads.
  std::function<void(std::string_view reason)> on_deposed;
};

class lease_recorder {
 public:
  lease_recorder(net::event_loop& loop, const store_services& store,
                 fleet_core& core, std::int64_t token,
                 lease_recorder_options options, lease_recorder_hooks hooks,
                 logging::event_log& log);
  lease_recorder(const lease_recorder&) = delete;
  lease_recorder& operator=(const lease_recorder&) = delete;
  ~lease_recorder();

  // Reads the last record of earlier leaders, then calls `done` with it, or
  // with nothing if there is none. The leader key must already be claimed.
  void Load(std::function<void(std::optional<lease_lapses>)> done);

  // Writes a new version if one is due. Called at each tick of the leader.
  void Update();

  // True if the bounds still apply: the machine was not suspended since the
  // stored version was sent.
  bool Valid() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEASE_RECORDER_H_
