// Loads the records in the store into a new leader's core.
#ifndef WAXWINGFRONT_FLEET_FLEET_LOADER_H_
#define WAXWINGFRONT_FLEET_FLEET_LOADER_H_

#include <functional>
#include <memory>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_core.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct fleet_loader_hooks {
  std::function<moment()> now;
  // All records of jobs are loaded into the core.
  std::function<void()> on_loaded;
};

class fleet_loader {
 public:
  fleet_loader(net::event_loop& loop, const store_services& store,
               fleet_core& core, core::milliseconds retry,
               fleet_loader_hooks hooks, logging::event_log& log);
  fleet_loader(const fleet_loader&) = delete;
  fleet_loader& operator=(const fleet_loader&) = delete;
  ~fleet_loader();

  void Start();

  // True once the interference record was read: it is in the core, missing or
  // damaged. Before that it must not be overwritten.
  bool SharingRead() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_LOADER_H_
