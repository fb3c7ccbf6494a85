// Sends holds and orders to executors and passes their responses to the core.
#ifndef WAXWINGFRONT_FLEET_EXECUTOR_DRIVER_H_
#define WAXWINGFRONT_FLEET_EXECUTOR_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/first_hold_queue.h"
#include "waxwingfront/fleet/fleet_core.h"
#include "waxwingfront/fleet/hold_pace.h"
#include "waxwingfront/fleet/load_monitor.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct executor_driver_options {
  // Maximum time for which an executor may delay its response to a hold. With
  // the pause between holds, it is shorter than `kMinRestartTime`, so that
  // starts need not wait for another hold.
  core::milliseconds max_hold_wait{1000};
  // Maximum number of concurrent holds to executors that are not in contact.
  std::size_t max_first_holds = first_hold_queue_options{}.max_in_flight;
  hold_pace_options pace;
  // Pause after a failed hold.
  core::milliseconds retry{100};
};

struct executor_driver_hooks {
  // True if this process may still send orders; checked before each call.
  std::function<bool()> may_order;
  // Called when an executor has seen a larger fencing token: another process
  // leads.
  std::function<void()> on_fenced;
  // Called when the core's state has changed and has to be planned and stored.
  std::function<void()> on_progress;
  std::function<moment()> now;
  // Called with the time that a hold or start took; may be empty.
  stage_hook on_stage;
};

class executor_driver {
 public:
  executor_driver(net::event_loop& loop, const executor_services& executors,
                  fleet_core& core, std::int64_t token,
                  executor_driver_options options, executor_driver_hooks hooks,
                  logging::event_log& log);
  executor_driver(const executor_driver&) = delete;
  executor_driver& operator=(const executor_driver&) = delete;
  ~executor_driver();

  // Sends a hold to each executor that needs one and has none in flight.
  void HoldAll();
  // The same for one executor.
  void Hold(const std::string& id);
  // Called when a transaction was stored: sends holds to the executors that
  // waited for it.
  void OnStored();
  // Sends the orders that the core decided on. Returns false if starts were
  // held back, so that others may take their place on the link.
  bool Send(const orders& decided);

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_EXECUTOR_DRIVER_H_
