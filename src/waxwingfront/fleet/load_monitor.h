// Load of a process: the lag of its event loop and the durations of the stages
// of its work, in metrics and in one log line per report interval.
#ifndef WAXWINGFRONT_FLEET_LOAD_MONITOR_H_
#define WAXWINGFRONT_FLEET_LOAD_MONITOR_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/load_stage.h"
#include "waxwingfront/fleet/processor_stages.h"
#include "waxwingfront/fleet/start_queue.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/metrics/registry.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

// Sizes of the process's queues at one moment.
struct load_levels {
  // Jobs with changes that are not yet persisted.
  std::size_t unpersisted_jobs = 0;
  std::size_t live_jobs = 0;
  std::size_t executors = 0;
  std::size_t executors_out_of_contact = 0;
  start_queue_levels starts;
};

struct load_monitor_options {
  // Time between two probes of the event loop lag.
  core::milliseconds probe_interval{50};
  // Time between two log lines.
  core::milliseconds report_interval{1000};
};

struct load_monitor_hooks {
  std::function<load_levels()> levels;
  // True if the line is written: followers are idle.
  std::function<bool()> leading;
  // Optional; outlives the monitor.
  processor_stages* processor = nullptr;
};

class load_monitor {
 public:
  load_monitor(net::event_loop& loop, const net::async_http_client& client,
               load_monitor_options options, load_monitor_hooks hooks,
               metrics::registry& metrics, logging::event_log& log);
  load_monitor(const load_monitor&) = delete;
  load_monitor& operator=(const load_monitor&) = delete;
  ~load_monitor();

  void Start();
  void Observe(load_stage stage, std::chrono::steady_clock::duration took);

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LOAD_MONITOR_H_
