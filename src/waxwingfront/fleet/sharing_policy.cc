#include "waxwingfront/fleet/sharing_policy.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

#include "waxwingfront/fleet/best_effort_wait.h"
#include "waxwingfront/fleet/placement.h"
#include "waxwingfront/fleet/tail_latency.h"

namespace waxwingfront::fleet {
namespace {

constexpr double kInfiniteCost = std::numeric_limits<double>::infinity();

// Average share of its declared processors that a serving task uses; the
// recorded days show 0.42.
constexpr double kServingUseShare = 0.45;
// Own load assumed for a serving task before its first report.
constexpr double kDefaultOwnLoad = 0.55;
// Prediction horizons of loads: a typical best-effort task's duration for
// placements, the report interval and delay for paces.
constexpr double kPlacementAheadSeconds = 1.5;
constexpr double kPaceAheadSeconds = 1.2;
// Interference of a task below this is ignored: half of the scatter of single
// tail latency readings (0.06 on recorded days).
constexpr double kMinInterference = 0.03;

// Costs are in shares of an executor's processors. Overcommitted processors
// slow down best-effort tasks, by a sixth at twice the capacity on recorded
// days; and interference uses up budget that heavier tasks may need.
constexpr double kLoadSlope = 0.5;
constexpr double kOvercommitSlope = 0.3;
constexpr double kInterferenceSlope = 2.0;
// Cost of using an executor without serving tasks for a task that could run
// elsewhere.
constexpr double kFreeExecutorCost = 0.3;
// Cost of using an executor that suits contentious images for another one,
// which fits anywhere.
constexpr double kTolerantExecutorCost = 0.5;

// Share of a service's executors kept free of serving tasks while others have
// capacity, for best-effort tasks that interfere with all serving images.
constexpr double kReservedShare = 0.15;
// Cost terms of placing a serving task. A best-effort task that interferes with
// one serving image often does not with another, so executors with one image
// each suit most best-effort tasks between them. Tasks of one job have their
// peaks at the same time.
constexpr double kFirstServingTaskCost = 0.1;
constexpr double kSecondImageCost = 1.2;
constexpr double kMixedImagesCost = 0.7;
constexpr double kOtherJobCost = 0.15;
constexpr double kReservedExecutorCost = 3.0;
// How long a serving task waits for short tasks to free capacity before it uses
// an executor that is kept free; the platform allows 3 s.
constexpr core::milliseconds kMaxSelectiveWait{1500};

// Above these multiples of the target, budgets are cut beyond the model.
constexpr double kHighRatio = 2.5;
constexpr double kCriticalRatio = 6.0;
constexpr double kHighRatioHeadroomShare = 0.3;
// Paces rise only while the affected tail latencies are below this share of
// their target.
constexpr double kPaceRiseMaxRatio = 0.8;
// A rise by fewer percent does not justify an order.
constexpr int kMinPaceRise = 20;

double Capacity(const executor_state& executor) {
  return static_cast<double>(
      std::max<std::int64_t>(1, executor.info.capacity.processor_milli));
}

double Millis(const task_state& task) {
  return static_cast<double>(task.Spec().cpu_millis());
}

double FreeShare(const executor_state& executor, const task_state& task) {
  return (static_cast<double>(executor.Free().processor_milli) - Millis(task)) /
         Capacity(executor);
}

}  // namespace

void sharing_policy::CountExecutors(core::monotonic_time now) {
  executors_ = 0.0;
  free_executors_ = 0.0;
  for (const auto& [id, executor] : state_.executors) {
    if (!executor.Usable(now)) continue;
    executors_ += 1.0;
    if (!View(executor, now).serving) free_executors_ += 1.0;
  }
  serving_waits_.reset();
}

void sharing_policy::OnServingPlaced(const task_state& task) {
  const executor_state* const executor = state_.FindExecutor(task.executor);
  if (executor != nullptr && executor->long_running_count == 1) {
    free_executors_ -= 1.0;
  }
  serving_waits_.reset();
}

double sharing_policy::Cost(const executor_state& executor,
                            const task_state& task,
                            core::monotonic_time now) const {
  if (task.Spec().fills()) return BestEffortCost(executor, task, now);
  if (task.Spec().long_running()) return ServingCost(executor, task, now);
  return OrdinaryCost(executor, task);
}

sharing_policy::serving_stage sharing_policy::StageOf(
    const task_state& task, core::monotonic_time now) {
  const auto waited = now - task.waiting_since;
  if (waited < kBatchingWindow) return serving_stage::kBatching;
  return waited < kMaxSelectiveWait ? serving_stage::kSelective
                                    : serving_stage::kAnyExecutor;
}

bool sharing_policy::MayUseFreeExecutor() const {
  return free_executors_ > kReservedShare * executors_;
}

double sharing_policy::ServingCost(const executor_state& executor,
                                   const task_state& task,
                                   core::monotonic_time now) const {
  const serving_stage stage = StageOf(task, now);
  if (stage == serving_stage::kBatching) return kInfiniteCost;
  const double free = FreeShare(executor, task);
  if (executor.long_running_count == 0) {
    const double cost = free + kFirstServingTaskCost;
    if (MayUseFreeExecutor()) return cost;
    return stage == serving_stage::kSelective ? kInfiniteCost
                                              : cost + kReservedExecutorCost;
  }
  double similarity = 1.0;
  bool same_job = false;
  const std::string* last = nullptr;
  for (const task_state* const other : executor.active) {
    if (!other->Spec().long_running()) continue;
    same_job |= other->job == task.job;
    const std::string& image = other->Spec().image();
    // Similar tasks are placed together, so most have the previous one's image.
    if (last != nullptr && image == *last) continue;
    last = &image;
    similarity =
        std::min(similarity, model_.Similarity(task.Spec().image(), image));
  }
  const double mixing =
      View(executor, now).images > 1 ? kMixedImagesCost : kSecondImageCost;
  return free + (same_job ? 0.0 : kOtherJobCost) + mixing * (1.0 - similarity);
}

double sharing_policy::OrdinaryCost(const executor_state& executor,
                                    const task_state& task) const {
  // Best fit keeps large gaps for serving tasks, which are larger. While
  // serving tasks wait for a gap, short tasks avoid gaps.
  const bool serving = executor.long_running_count > 0;
  return FreeShare(executor, task) +
         (serving == ServingWaits() ? kFreeExecutorCost : 0.0);
}

std::optional<std::uint64_t> sharing_policy::Epoch(
    const task_state& task, core::monotonic_time now) const {
  if (task.Spec().fills()) {
    const std::uint64_t level =
        model_.SolveCount() * kFeasibilityLevels + Feasibility(task, now);
    return level * kBestEffortStages +
           static_cast<std::uint64_t>(BestEffortStageOf(task, now));
  }
  if (!task.Spec().long_running()) return 0;
  return static_cast<std::uint64_t>(StageOf(task, now)) * 2 +
         (MayUseFreeExecutor() ? 1 : 0);
}

std::size_t sharing_policy::Feasibility(const task_state& task,
                                        core::monotonic_time now) const {
  const queue_spec* const queue = state_.QueueOf(*task.job);
  return static_cast<std::size_t>(
      FeasibilityOf(ComputeDeadlines(*task.job, task.occurrence, queue), now));
}

const sharing_policy::cached_task& sharing_policy::CachedValues(
    const task_state& task, core::monotonic_time now) const {
  if (cached_.task == &task && cached_.at == now) return cached_;
  const std::string& image = task.Spec().image();
  cached_ = {.task = &task,
             .at = now,
             .feasibility = Feasibility(task, now),
             .image = model_.FindBestEffort(image),
             .contentiousness = model_.Contentiousness(image)};
  return cached_;
}

double sharing_policy::BestEffortCost(const executor_state& executor,
                                      const task_state& task,
                                      core::monotonic_time now) const {
  const sharing_view& view = View(executor, now);
  const double load = (view.use_millis + Millis(task)) / Capacity(executor);
  const double cost =
      kLoadSlope * load + kOvercommitSlope * std::max(0.0, load - 1.0);
  const cached_task& cached = CachedValues(task, now);
  const double tolerance_cost =
      kTolerantExecutorCost * view.tolerance * (1.0 - cached.contentiousness);
  if (!view.serving) return cost + kFreeExecutorCost + tolerance_cost;
  const double cores = CoresOf(executor, task);
  double pace = 1.0;
  double highest = 0.0;
  for (const serving_budget& budget : view.budgets) {
    const double added =
        model_.InterferenceAt(budget.index, cached.image) * cores;
    if (added < kMinInterference) continue;
    highest = std::max(highest, added);
    pace = std::min(
        pace, budget.headroom / (budget.used[cached.feasibility] + added));
  }
  if (pace < MinPaceOf(task, now)) return kInfiniteCost;
  return cost + tolerance_cost + kInterferenceSlope * highest +
         SlowPaceCost(pace);
}

const sharing_view& sharing_policy::View(const executor_state& executor,
                                         core::monotonic_time now) const {
  sharing_view& view = executor.sharing;
  if (view.fresh) return view;
  view = {.fresh = true};
  for (const task_state* const task : executor.active) {
    const bool is_long_running = task->Spec().long_running();
    view.serving |= is_long_running;
    view.use_millis +=
        (is_long_running ? kServingUseShare : 1.0) * Millis(*task);
  }
  view.budgets = Budgets(executor, kPlacementAheadSeconds);
  view.images = view.budgets.size();
  for (const serving_budget& budget : view.budgets) {
    view.tolerance =
        std::min(view.tolerance, 1.0 - model_.Sensitivity(budget.image));
  }
  if (view.budgets.empty()) return view;
  for (const task_state* const task : executor.active) {
    if (!task->Spec().fills()) continue;
    const std::size_t feasibility = Feasibility(*task, now);
    const std::size_t image = model_.FindBestEffort(task->Spec().image());
    const double cores = CoresOf(executor, *task);
    for (serving_budget& budget : view.budgets) {
      const double impact = model_.InterferenceAt(budget.index, image) * cores;
      for (std::size_t level = feasibility; level < kFeasibilityLevels; ++level)
        budget.used[level] += impact;
    }
  }
  return view;
}

std::vector<serving_budget> sharing_policy::Budgets(
    const executor_state& executor, double ahead_seconds) const {
  std::vector<serving_budget> budgets;
  for (const task_state* const task : executor.active) {
    if (!Serves(*task)) continue;
    const std::string& image = task->Spec().image();
    const double limit = model_.Utilisation(
        image, static_cast<double>(task->Spec().target_ms()));
    const double own = model_.OwnLoad(task->job->Id(), ahead_seconds)
                           .value_or(kDefaultOwnLoad);
    const double headroom = std::max(0.0, limit - executor.margin - own);
    const auto known =
        std::ranges::find(budgets, image, &serving_budget::image);
    if (known == budgets.end()) {
      budgets.push_back({.image = image,
                         .index = model_.FindServing(image),
                         .headroom = headroom});
    } else {
      known->headroom = std::min(known->headroom, headroom);
    }
  }
  return budgets;
}

void sharing_policy::CutBudgets(const executor_state& executor,
                                std::vector<serving_budget>& budgets) const {
  for (const task_state* const task : executor.active) {
    if (!HasTailLatency(*task)) continue;
    const double ratio = LatencyRatio(*task);
    if (ratio <= kHighRatio) continue;
    const auto budget = std::ranges::find(budgets, task->Spec().image(),
                                          &serving_budget::image);
    budget->headroom *= ratio > kCriticalRatio ? 0.0 : kHighRatioHeadroomShare;
  }
}

double sharing_policy::CoresOf(const executor_state& executor,
                               const task_state& best_effort) {
  constexpr double kMillisPerCore = 1000.0;
  return Millis(best_effort) * sharing_model::kReferenceMillis /
         Capacity(executor) / kMillisPerCore;
}

double sharing_policy::InterferenceOf(const executor_state& executor,
                                      std::string_view serving,
                                      const task_state& best_effort) const {
  return model_.Interference(serving, best_effort.Spec().image()) *
         CoresOf(executor, best_effort);
}

void sharing_policy::OnReport(executor_state& executor,
                              core::monotonic_time now) {
  UpdateModel(executor, now);
  AdjustMargin(executor, now);
  executor.Touch();
  AdjustPace(executor, now);
}

void sharing_policy::AdjustPace(executor_state& executor,
                                core::monotonic_time now) {
  std::vector<pace_claim> claims;
  for (task_state* const task : executor.active) {
    if (!task->Spec().fills() || task->Phase() != task_phase::kRunning)
      continue;
    const job_deadlines deadlines = ComputeDeadlines(
        *task->job, task->occurrence, state_.QueueOf(*task->job));
    claims.push_back({.feasibility = FeasibilityOf(deadlines, now),
                      .due = deadlines.due,
                      .task = task});
  }
  if (claims.empty()) return;
  std::vector<serving_budget> budgets = Budgets(executor, kPaceAheadSeconds);
  CutBudgets(executor, budgets);
  const bool over_target_too_long = AnyAboveTargetTooLong(executor, now);
  // The job most likely to be on time gets full pace before the next gets any,
  // so that a shortage makes few jobs late.
  std::sort(claims.begin(), claims.end());
  std::vector<double> interferences;
  for (const pace_claim& claim : claims) {
    double pace = over_target_too_long ? 0.0 : 1.0;
    interferences.clear();
    const std::size_t image = model_.FindBestEffort(claim.task->Spec().image());
    const double cores = CoresOf(executor, *claim.task);
    for (serving_budget& budget : budgets) {
      const double impact = model_.InterferenceAt(budget.index, image) * cores;
      interferences.push_back(impact);
      if (impact < kMinInterference || impact <= budget.headroom) continue;
      pace = std::min(pace, std::max(0.0, budget.headroom / impact));
    }
    for (std::size_t i = 0; i < budgets.size(); ++i) {
      budgets[i].headroom -= pace * interferences[i];
    }
    SetPace(executor, *claim.task, pace);
  }
}

void sharing_policy::UpdateModel(executor_state& executor,
                                 core::monotonic_time now) {
  std::vector<sharing_model::best_effort_usage> usage;
  std::vector<sharing_model::serving_latency> serving;
  for (task_state* const task : executor.active) {
    if (!task->listed) continue;
    if (!HasTailLatency(*task) || LatencyRatio(*task) <= 1.0)
      task->last_within_target = now;
    if (task->Spec().fills()) {
      usage.push_back({.image = task->Spec().image(),
                       .cpu_millis = static_cast<double>(task->reported_load)});
    } else if (HasTailLatency(*task)) {
      serving.push_back({.job = task->job->Id(),
                         .index = task->index,
                         .image = task->Spec().image(),
                         .tail_ms = static_cast<double>(task->reported_load)});
    }
  }
  model_.Observe(executor.info.id, Capacity(executor), usage, serving, now);
}

void sharing_policy::SetPace(executor_state& executor, task_state& task,
                             double target) {
  const int percent = PacePercent(task, target);
  const int change = percent - task.pace_percent;
  const bool extreme = percent == 0 || percent == kFullPace ||
                       task.pace_percent == kUnknownPace ||
                       (task.pace_percent == 0 && IsOnlyOneOfStep(task));
  if (change == 0 || (!extreme && change > 0 && change < kMinPaceRise)) return;
  if (change > 0 && !MayRaisePace(executor, task)) return;
  task.pace_percent = percent;
  state_.outgoing.paces.push_back({.executor = executor.info.id,
                                   .task = task.Ref(),
                                   .run = task.run,
                                   .percent = percent});
}

bool sharing_policy::MayRaisePace(const executor_state& executor,
                                  const task_state& best_effort) const {
  return std::ranges::none_of(executor.active, [&](const task_state* task) {
    return HasTailLatency(*task) && LatencyRatio(*task) > kPaceRiseMaxRatio &&
           InterferenceOf(executor, task->Spec().image(), best_effort) >=
               kMinInterference;
  });
}

}  // namespace waxwingfront::fleet
