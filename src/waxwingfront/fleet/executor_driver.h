// Sends holds and orders to executors and brings their answers to the core.
#ifndef WAXWINGFRONT_FLEET_EXECUTOR_DRIVER_H_
#define WAXWINGFRONT_FLEET_EXECUTOR_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/first_holds.h"
#include "waxwingfront/fleet/fleet_core.h"
#include "waxwingfront/fleet/hold_pace.h"
#include "waxwingfront/fleet/load_monitor.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct executor_driver_options {
  // Longest wait of one hold; the platform takes 2 s at most.
  core::milliseconds hold_wait{2000};
  // Holds of executors that are not in contact, at a time.
  std::size_t most_first_holds = first_holds_options{}.most_in_flight;
  hold_pace_options pace;
  // Pause after a hold without an answer.
  core::milliseconds retry{100};
};

struct executor_driver_hooks {
  // Whether this process may still order, checked before each call.
  std::function<bool()> may_order;
  // An executor has seen a larger token: another process leads.
  std::function<void()> on_fenced;
  // The core has new facts: plan and store.
  std::function<void()> on_progress;
  std::function<moment()> now;
  // May be empty.
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

  // Holds each executor that needs it and has no hold on its way.
  void HoldAll();
  // A transaction was stored: holds the executors that waited for it.
  void OnStored();
  // Sends what the core decided.
  void Send(const orders& decided);

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_EXECUTOR_DRIVER_H_
