// One process of the fleet: follows the manifest, takes part in leader
// election, and serves callers' job requests.
#ifndef WAXWINGFRONT_FLEET_FLEET_NODE_H_
#define WAXWINGFRONT_FLEET_FLEET_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/fleet/fleet_leader.h"
#include "waxwingfront/fleet/job_gateway.h"
#include "waxwingfront/fleet/leader_announcer.h"
#include "waxwingfront/fleet/leader_candidacy.h"
#include "waxwingfront/fleet/leader_choice.h"
#include "waxwingfront/fleet/leadership.h"
#include "waxwingfront/fleet/leadership_check.h"
#include "waxwingfront/fleet/lease_observer.h"
#include "waxwingfront/fleet/load_monitor.h"
#include "waxwingfront/fleet/manifest_follower.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/fleet/processor_stages.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/metrics/registry.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/async_http_server.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct fleet_node_options {
  // Listening address for calls of other processes and for metrics.
  std::string internal_address;
  // Used in this order if it cannot listen on `internal_address`.
  std::vector<std::string> more_internal_addresses;
  // Resources of the machine, see `StrengthOf`; 0 if unknown.
  std::int64_t strength = 0;
  // `fleet_node` sets `address` and `strength`.
  leader_choice_options choice;
  leadership_options leadership;
  leadership_check_options leadership_check;
  leader_announcer_options announcer;
  leader_candidacy_options candidacy;
  manifest_follower_options manifest;
  fleet_leader_options leader;
  lease_observer_options leases;
  job_gateway_options gateway;
  load_monitor_options load;
  core::milliseconds log_flush{200};
  // Optional; outlives the node.
  processor_stages* processor = nullptr;
};

class fleet_node {
 public:
  fleet_node(net::event_loop& loop, net::async_http_client& client,
             const store_services& store, const executor_services& executors,
             fleet_node_options options, logging::event_log& log);
  fleet_node(const fleet_node&) = delete;
  fleet_node& operator=(const fleet_node&) = delete;
  ~fleet_node();

  // Called with each newer manifest.
  std::function<void(const manifest&)> on_manifest;

  // Fails without effect if it cannot listen.
  core::result<void> Start();

  // Address at which other processes reach this one, once it has started.
  const std::string& Address() const;

  const std::optional<manifest>& Manifest() const;

  // True if requests can be served: a manifest and a leader are known.
  bool Ready() const;

  // See `job_gateway::Call`.
  void Call(schema::fleet_request request, core::monotonic_time deadline,
            job_gateway::callback done);

  // Does not become the leader any more. A leader gives up leadership once
  // another process is ready to lead after `delay`, at the latest in `Resign`.
  // Requests are still served until the process ends.
  void ResignToSuccessor(core::milliseconds delay);
  // Gives up leadership at once.
  void Resign();
  bool Leads() const;

  metrics::registry& Metrics();
  logging::event_log& Log();

 private:
  struct internal;
  std::unique_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_NODE_H_
