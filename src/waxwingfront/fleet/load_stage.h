// Stages of a leader's work whose durations are measured.
#ifndef WAXWINGFRONT_FLEET_LOAD_STAGE_H_
#define WAXWINGFRONT_FLEET_LOAD_STAGE_H_

#include <chrono>
#include <cstddef>
#include <functional>

namespace waxwingfront::fleet {

enum class load_stage {
  // Delay of a timer, which everything else in the event loop shares.
  kLoopLag,
  kPlanning,
  kStoreWrite,
  kRenewal,
  // Holds that do not wait for a run to end.
  kHold,
  kStart,
  // The way of a long-running task to its next run, see `restart_stages`.
  kRestartWait,
  kRestartStore,
  kRestartSend,
  kRestartConfirm,
  // From when the process that now leads saw that there was no leader until it
  // was ready to lead.
  kLeaderless,
};
inline constexpr std::size_t kLoadStages = 11;

// Called with the duration of a stage.
using stage_hook =
    std::function<void(load_stage, std::chrono::steady_clock::duration)>;

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LOAD_STAGE_H_
