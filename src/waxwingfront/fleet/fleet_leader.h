// A leader at work: loads what the store has, follows executors, stores
// decisions and sends orders. Lives from election to deposition.
#ifndef WAXWINGFRONT_FLEET_FLEET_LEADER_H_
#define WAXWINGFRONT_FLEET_FLEET_LEADER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/advice_driver.h"
#include "waxwingfront/fleet/executor_driver.h"
#include "waxwingfront/fleet/executor_registry.h"
#include "waxwingfront/fleet/fleet_core.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/fleet/write_pacer.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct fleet_leader_options {
  fleet_options core;
  executor_driver_options driver;
  advice_driver_options advice;
  write_pacer_options writes;
  // Pause between two rounds of planning: starts wait for a transaction anyway.
  core::milliseconds plan_pause{15};
  // Time that a round of planning takes at most before what else is due has its
  // turn: holds, renewals and callers wait for it.
  core::milliseconds plan_time{20};
  core::milliseconds retry{100};
  executor_registry_options registry;
  core::milliseconds tick{100};
  // Between two records of what was learnt; a later leader lacks this much.
  core::milliseconds sharing_period{3000};
  // Conditions and assignments in a transaction are 32 at most; the leader's
  // key takes one, each record two.
  std::size_t max_records = 15;
};

struct fleet_leader_hooks {
  std::function<bool()> may_order;
  // Another process leads, as `reason` says.
  std::function<void(std::string_view reason)> on_deposed;
  std::function<moment()> now;
  // May be empty.
  stage_hook on_stage;
};

class fleet_leader {
 public:
  fleet_leader(net::event_loop& loop, const store_services& store,
               const executor_services& executors, std::int64_t token,
               core::monotonic_time claimed, fleet_leader_options options,
               fleet_leader_hooks hooks, logging::event_log& log);
  fleet_leader(const fleet_leader&) = delete;
  fleet_leader& operator=(const fleet_leader&) = delete;
  ~fleet_leader();

  void SetManifest(const manifest& wanted);

  // Whether all jobs in the store are known: no answers before.
  bool Loaded() const;
  fleet_core& Core();
  load_levels Levels() const;

  // New facts came in: plans, stores and sends.
  void Progress();

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_LEADER_H_
