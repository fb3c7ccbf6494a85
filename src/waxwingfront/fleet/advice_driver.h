// Sends the core's advice requests to the adviser and passes the replies back.
#ifndef WAXWINGFRONT_FLEET_ADVICE_DRIVER_H_
#define WAXWINGFRONT_FLEET_ADVICE_DRIVER_H_

#include <functional>
#include <memory>
#include <span>

#include "waxwingfront/fleet/advice_pacer.h"
#include "waxwingfront/fleet/fleet_core.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/logging/event_log.h"

namespace waxwingfront::fleet {

struct advice_driver_hooks {
  // Called after the core has processed a reply.
  std::function<void()> on_progress;
  std::function<moment()> now;
};

// Requests wait here until the adviser can handle them, and leave in the order
// in which their steps would start.
class advice_driver {
 public:
  advice_driver(const executor_services& executors, fleet_core& core,
                advice_pacer_options options, advice_driver_hooks hooks,
                logging::event_log& log);
  advice_driver(const advice_driver&) = delete;
  advice_driver& operator=(const advice_driver&) = delete;
  ~advice_driver();

  // Adds the requests and sends those that may be sent now. To be called
  // regularly, also without requests, since failed calls cause pauses.
  void Send(std::span<const advice_request> requests);

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_ADVICE_DRIVER_H_
