// The acting leader: loads jobs from the store, tracks executors, persists
// scheduling decisions and sends orders. Exists from election to deposition.
#ifndef WAXWINGFRONT_FLEET_FLEET_LEADER_H_
#define WAXWINGFRONT_FLEET_FLEET_LEADER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/advice_driver.h"
#include "waxwingfront/fleet/executor_driver.h"
#include "waxwingfront/fleet/executor_registry.h"
#include "waxwingfront/fleet/fleet_core.h"
#include "waxwingfront/fleet/lease_recorder.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/fleet/processor_stages.h"
#include "waxwingfront/fleet/work_monitor.h"
#include "waxwingfront/fleet/write_pacer.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct fleet_leader_options {
  fleet_options core;
  executor_driver_options driver;
  advice_pacer_options advice;
  write_pacer_options writes;
  // Minimum time between two rounds of planning; costs no latency, since starts
  // wait for a transaction anyway.
  core::milliseconds plan_interval{15};
  // Time budget of a round of planning, because holds, lease renewals and
  // requests wait for it.
  core::milliseconds plan_budget{20};
  core::milliseconds retry{100};
  executor_registry_options registry;
  lease_recorder_options leases;
  core::milliseconds tick{100};
  // Time between two records of the interference estimates; a later leader
  // loses the updates of up to this time.
  core::milliseconds sharing_period{3000};
  // Time between two reports of the short work in progress, each of which
  // considers all live jobs.
  core::milliseconds work_period{1000};
  // A transaction has at most 32 conditions and assignments: the leader key
  // takes one, each record two.
  std::size_t max_records = 15;
};

struct fleet_leader_hooks {
  std::function<bool()> may_order;
  // Another process leads; `reason` states how this was detected.
  std::function<void(std::string_view reason)> on_deposed;
  std::function<moment()> now;
  // See `lease_recorder_hooks`.
  std::function<std::optional<core::monotonic_time>(std::int64_t revision)>
      leases_first_seen;
  std::function<core::milliseconds()> suspended;
  // All jobs and executors are known. Optional.
  std::function<void()> on_ready;
  // Optional.
  stage_hook on_stage;
  // Both are optional and outlive the leader.
  work_monitor* work = nullptr;
  processor_stages* processor = nullptr;
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

  // True once all jobs in the store are loaded. No requests are served before.
  bool Loaded() const;
  fleet_core& Core();
  load_levels Levels() const;

  // Schedules a round of planning, writes and orders after a change of state.
  void ScheduleRound();

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_LEADER_H_
