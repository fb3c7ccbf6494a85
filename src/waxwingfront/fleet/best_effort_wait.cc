#include "waxwingfront/fleet/best_effort_wait.h"

#include <algorithm>

#include "waxwingfront/fleet/placement.h"

namespace waxwingfront::fleet {
namespace {

// Minimum pace of a task that does not wait: jobs have time for twice their
// work.
constexpr double kMinPace = 0.5;
// Each task below `kMinPace` shares the budget with others and holds
// memory, so that a step which does not stand still gets no smaller shares.
constexpr double kMinSharedPace = 0.1;
// A slow pace makes the job late; below `kMinPace` it also tells how little of
// the harm the budgets bear.
constexpr double kSlowPaceSlope = 0.5;
constexpr double kLastResortSlope = 5.0;
// Paces are rounded down to a multiple of this many percent, which saves
// orders.
constexpr int kPaceRounding = 10;

}  // namespace

best_effort_stage BestEffortStageOf(const task_state& task,
                                    core::monotonic_time now) {
  if (now - task.waiting_since < kMaxIdleWait) {
    return best_effort_stage::kSelective;
  }
  return task.job->StepOf(task).CountActive() > 0
             ? best_effort_stage::kAnyBudget
             : best_effort_stage::kAnyExecutor;
}

double MinPaceOf(const task_state& task, core::monotonic_time now) {
  switch (BestEffortStageOf(task, now)) {
    case best_effort_stage::kSelective:
      return kMinPace;
    case best_effort_stage::kAnyBudget:
      return kMinSharedPace;
    case best_effort_stage::kAnyExecutor:
      return 0.0;
  }
  return kMinPace;
}

double SlowPaceCost(double pace) {
  const double slowness = 1.0 - pace;
  return pace < kMinPace ? kLastResortCost + kLastResortSlope * slowness
                         : kSlowPaceSlope * slowness;
}

bool IsOnlyOneOfStep(const task_state& task) {
  return task.job->StepOf(task).CountActive() == 1;
}

int PacePercent(const task_state& task, double share) {
  const int exact =
      std::clamp(static_cast<int>(share * kFullPace), 0, kFullPace);
  // The step should not stand still.
  if (exact < kPaceRounding && IsOnlyOneOfStep(task)) return exact;
  return exact / kPaceRounding * kPaceRounding;
}

}  // namespace waxwingfront::fleet
