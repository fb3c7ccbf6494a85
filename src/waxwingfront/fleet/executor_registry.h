// Follows the store entries with which executors register themselves.
#ifndef WAXWINGFRONT_FLEET_EXECUTOR_REGISTRY_H_
#define WAXWINGFRONT_FLEET_EXECUTOR_REGISTRY_H_

#include <functional>
#include <memory>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_core.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct executor_registry_options {
  // Maximum duration of one watch, so that a dead connection is detected. While
  // no entry changes, entries are known to be current as of the start of the
  // last watch with a response, also if this process is late. They must then
  // be recent enough to place work, see `order_deadlines::MayPlace`.
  core::milliseconds watch_timeout{500};
  core::milliseconds retry{100};
};

struct executor_registry_hooks {
  std::function<moment()> now;
  // Called when the whole list has been read into the core: at the start, and
  // again after the store's history was compacted.
  std::function<void()> on_listed;
  // Called when single entries have changed in the core.
  std::function<void()> on_change;
};

class executor_registry {
 public:
  executor_registry(net::event_loop& loop, const store_services& store,
                    fleet_core& core, executor_registry_options options,
                    executor_registry_hooks hooks, logging::event_log& log);
  executor_registry(const executor_registry&) = delete;
  executor_registry& operator=(const executor_registry&) = delete;
  ~executor_registry();

  void Start();

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_EXECUTOR_REGISTRY_H_
