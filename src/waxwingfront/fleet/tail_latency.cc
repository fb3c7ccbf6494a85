#include "waxwingfront/fleet/tail_latency.h"

#include <algorithm>
#include <chrono>

namespace waxwingfront::fleet {
namespace {

constexpr int kServingPercent = 100;
// The margin below the targets grows while more than the tolerated share of an
// executor's serving tasks is above its target, and shrinks otherwise. Time
// above the target counts four times, so that the tolerated share costs a fifth
// of what serving jobs earn. The gain is in utilisation per second, the maximum
// in utilisation.
constexpr double kMarginGain = 0.3;
constexpr double kToleratedOverTargetShare = 0.05;
constexpr double kMaxMargin = 0.2;
// A report covers at most this many seconds before it.
constexpr double kMaxReportGapSeconds = 2.0;
// A task above its target for this long stops all best-effort tasks on its
// executor, regardless of the model. The platform allows 4 s, of which reports
// and orders take up to 2.
constexpr core::milliseconds kMaxTimeOverTarget{1500};

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

bool AnyAboveTargetTooLong(const executor_state& executor,
                           core::monotonic_time now) {
  return std::ranges::any_of(executor.active, [now](const task_state* task) {
    return HasTailLatency(*task) && LatencyRatio(*task) > 1.0 &&
           now - task->last_within_target >= kMaxTimeOverTarget;
  });
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
    if (LatencyRatio(*task) > 1.0) over += 1.0;
  }
  const double share = serving > 0.0 ? over / serving : 0.0;
  executor.margin =
      std::clamp(executor.margin + kMarginGain * elapsed *
                                       (share - kToleratedOverTargetShare),
                 0.0, kMaxMargin);
}

}  // namespace waxwingfront::fleet
