// What a process bears: how late its event loop is and how long the stages of
// its work take, in metrics and in one log line a period.
#ifndef WAXWINGFRONT_FLEET_LOAD_MONITOR_H_
#define WAXWINGFRONT_FLEET_LOAD_MONITOR_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/metrics/registry.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

enum class load_stage {
  // A timer that fires late: everything else in the loop waits as long.
  kLoopLag,
  kPlanning,
  kStoreWrite,
  kRenewal,
  // Of holds that do not wait for an end.
  kHold,
  kStart,
};
inline constexpr std::size_t kLoadStages = 6;

// Called with the time that a stage took.
using stage_hook =
    std::function<void(load_stage, std::chrono::steady_clock::duration)>;

// Queues of the process at one moment.
struct load_levels {
  // Jobs with changes that the store does not have.
  std::size_t unpersisted_jobs = 0;
  std::size_t live_jobs = 0;
  std::size_t executors = 0;
  std::size_t executors_out_of_contact = 0;
};

struct load_monitor_options {
  // Between two looks at the loop's lag.
  core::milliseconds probe{50};
  // Between two lines.
  core::milliseconds period{1000};
};

struct load_monitor_hooks {
  std::function<load_levels()> levels;
  // Whether the line is worth writing: followers are idle.
  std::function<bool()> leading;
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
