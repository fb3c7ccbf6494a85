#include "waxwingfront/fleet/tail_latency.h"

#include <algorithm>
#include <chrono>

namespace waxwingfront::fleet {
namespace {

constexpr int kServingPercent = 100;
// The margin below the targets grows while more than the tolerated share of an
// executor's serving tasks is not below its target, and shrinks otherwise. Time
// above the target counts four times, so that the tolerated share costs a fifth
// of what serving jobs earn. The gain is in utilisation per second, the maximum
// in utilisation.
constexpr double kMarginGain = 0.3;
constexpr double kToleratedOverTargetShare = 0.05;
constexpr double kMaxMargin = 0.2;
// A report covers at most this many seconds before it.
constexpr double kMaxReportGapSeconds = 2.0;
// The platform allows 4 s, of which reports and orders take up to 2.
constexpr core::milliseconds kMaxTimeAtTarget{1500};
// A stop ends after this time below the targets even without recovery.
constexpr core::milliseconds kMaxRecoveryTime{3000};

}  // namespace

bool Serves(const task_state& task) { return task.Spec().target_ms() > 0; }

bool HasTailLatency(const task_state& task) {
  return Serves(task) && task.listed && task.percent == kServingPercent &&
         task.reported_load > 0;
}

double LatencyRatio(const task_state& task) {
  return static_cast<double>(task.reported_load) /
         static_cast<double>(task.Spec().target_ms());
}

bool AtOrAboveTarget(const task_state& task) {
  return HasTailLatency(task) && LatencyRatio(task) >= 1.0;
}

void UpdateBestEffortStop(executor_state& executor, core::monotonic_time now) {
  bool at_target = false;
  bool at_target_too_long = false;
  bool recovered = true;
  for (const task_state* const task : executor.active) {
    if (!HasTailLatency(*task)) continue;
    recovered &= LatencyRatio(*task) < kMaxIncreaseRatio;
    if (!AtOrAboveTarget(*task)) continue;
    at_target = true;
    at_target_too_long |= now - task->last_within_target >= kMaxTimeAtTarget;
  }
  if (at_target) executor.last_at_target = now;
  // The serving tasks' own load may keep them just below their targets.
  const bool stays = executor.best_effort_stopped && !recovered &&
                     now - executor.last_at_target < kMaxRecoveryTime;
  executor.best_effort_stopped = at_target_too_long || stays;
}

void AdjustMargin(executor_state& executor, core::monotonic_time now) {
  const double elapsed =
      std::min(kMaxReportGapSeconds,
               std::chrono::duration<double>(now - executor.margin_at).count());
  executor.margin_at = now;
  double serving = 0.0;
  double over = 0.0;
  for (const task_state* const task : executor.active) {
    if (!HasTailLatency(*task)) continue;
    serving += 1.0;
    if (AtOrAboveTarget(*task)) over += 1.0;
  }
  const double share = serving > 0.0 ? over / serving : 0.0;
  executor.margin =
      std::clamp(executor.margin + kMarginGain * elapsed *
                                       (share - kToleratedOverTargetShare),
                 0.0, kMaxMargin);
}

}  // namespace waxwingfront::fleet
