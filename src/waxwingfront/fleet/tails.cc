#include "waxwingfront/fleet/tails.h"

#include <algorithm>
#include <chrono>

namespace waxwingfront::fleet {
namespace {

constexpr int kAtWork = 100;
// The margin below the targets grows while more than the tolerated share of an
// executor's serving tasks is above its target, and shrinks while less is.
// Harm counts four times, so that the tolerated share costs a fifth of what
// serving jobs earn. Utilisation a second, and utilisation.
constexpr double kMarginGain = 0.3;
constexpr double kToleratedHarm = 0.05;
constexpr double kMostMargin = 0.2;
// A report tells of no more than this many seconds before it.
constexpr double kLongestReportGap = 2.0;
// A task above its target for this long stops all filling work beside it,
// whatever the model says; the platform allows 4 s, of which reports and orders
// take up to 2.
constexpr core::milliseconds kHarmLimit{1500};

}  // namespace

bool Serves(const task_state& task) { return task.Spec().target_ms() > 0; }

bool HasTail(const task_state& task) {
  return Serves(task) && task.listed && task.percent == kAtWork &&
         task.reported_load > 0;
}

double TailShare(const task_state& task) {
  return static_cast<double>(task.reported_load) /
         static_cast<double>(task.Spec().target_ms());
}

bool LongHarmed(const executor_state& executor, core::monotonic_time now) {
  return std::ranges::any_of(executor.active, [now](const task_state* task) {
    return HasTail(*task) && TailShare(*task) > 1.0 &&
           now - task->last_within_target >= kHarmLimit;
  });
}

void AdjustMargin(executor_state& executor, core::monotonic_time now) {
  const double elapsed =
      std::min(kLongestReportGap,
               std::chrono::duration<double>(now - executor.margin_at).count());
  executor.margin_at = now;
  double serving = 0.0;
  double over = 0.0;
  for (const task_state* const task : executor.active) {
    if (!HasTail(*task)) continue;
    serving += 1.0;
    if (TailShare(*task) > 1.0) over += 1.0;
  }
  const double share = serving > 0.0 ? over / serving : 0.0;
  executor.margin = std::clamp(
      executor.margin + kMarginGain * elapsed * (share - kToleratedHarm), 0.0,
      kMostMargin);
}

}  // namespace waxwingfront::fleet
