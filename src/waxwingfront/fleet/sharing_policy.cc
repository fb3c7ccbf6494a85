#include "waxwingfront/fleet/sharing_policy.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>

#include "waxwingfront/fleet/tails.h"

namespace waxwingfront::fleet {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

// Share of its declared processors that a serving task uses on average; the
// recorded days show 0.42.
constexpr double kServingUseShare = 0.45;
// Own load that a serving task is taken to have before its first report.
constexpr double kUnknownLoad = 0.55;
// How far loads are looked ahead: a typical filling task's time when one is
// placed, the time between two reports and their delay when paces are set.
constexpr double kPlacementAheadSeconds = 1.5;
constexpr double kPaceAheadSeconds = 1.2;
// A filling task is placed beside serving ones only if the budgets allow it
// this share of its full pace. Jobs have time for twice their work.
constexpr double kLeastPace = 0.5;
// Pressures of a task below this are neither placed nor paced by: half of what
// single readings of a tail scatter by (0.06 on recorded days).
constexpr double kNoPressure = 0.03;

// Costs are in shares of an executor's processors. Overcommitted processors
// slow down what fills, by a sixth at twice the capacity on recorded days;
// pressure spends what heavier work may need; and a slow pace makes its job
// late.
constexpr double kLoadSlope = 0.5;
constexpr double kOvercommitSlope = 0.3;
constexpr double kPressureSlope = 2.0;
constexpr double kSlowCost = 0.5;
// Cost of using an executor without serving tasks for work that could go
// elsewhere.
constexpr double kKeepFreeCost = 0.3;
// Cost of using an executor that heavy images could use for a light one, which
// fits anywhere.
constexpr double kKeepOpenCost = 0.5;

// Share of a service's executors that is kept free of serving tasks while there
// is room elsewhere, for filling work that disturbs all serving images.
constexpr double kReservedShare = 0.15;
// Steps in the cost of placing a serving task. Filling work that disturbs one
// serving image often does not mind another, so executors of one image serve
// most filling work between them; and tasks of one job have their peaks at the
// same time.
constexpr double kOpensCost = 0.1;
constexpr double kSpoilsImageCost = 1.2;
constexpr double kMixedImagesCost = 0.7;
constexpr double kOtherJobCost = 0.15;
constexpr double kReservedCost = 3.0;
// Serving tasks wait this long for others that come at the same time, so that
// alike ones are placed together: little against their life.
constexpr core::milliseconds kGatherTime{300};
// How long a serving task waits for short tasks to leave a gap before it takes
// an executor that is kept free; the platform allows 3 s.
constexpr core::milliseconds kServingPatience{1500};

// Tails above these multiples of the target call for more than the model says.
constexpr double kClearlyOver = 2.5;
constexpr double kFarOver = 6.0;
constexpr double kClearlyOverShare = 0.3;
// Paces rise only while the tails that they press are below this share of their
// target.
constexpr double kCalmTail = 0.8;
// Paces are set in steps of this many percent, downwards; a rise has to be
// larger to be worth an order.
constexpr int kPaceRounding = 10;
constexpr int kPaceRise = 20;

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
  serving_waits_ = std::ranges::any_of(state_.live, [](const job_state* job) {
    if (job->Final() || !job->Spec().steps(0).long_running()) return false;
    const std::vector<task_state>& tasks =
        job->Occurrences().front().steps.front().tasks;
    return std::ranges::find(tasks, task_phase::kWaiting, &task_state::phase) !=
           tasks.end();
  });
}

double sharing_policy::Cost(const executor_state& executor,
                            const task_state& task,
                            core::monotonic_time now) const {
  if (task.Spec().fills()) return FillingCost(executor, task, now);
  if (task.Spec().long_running()) return ServingCost(executor, task, now);
  return OrdinaryCost(executor, task);
}

sharing_policy::serving_stage sharing_policy::StageOf(
    const task_state& task, core::monotonic_time now) {
  const auto waited = now - task.waiting_since;
  if (waited < kGatherTime) return serving_stage::kGathers;
  return waited < kServingPatience ? serving_stage::kParticular
                                   : serving_stage::kAnywhere;
}

bool sharing_policy::MayOpen() const {
  return free_executors_ > kReservedShare * executors_;
}

double sharing_policy::ServingCost(const executor_state& executor,
                                   const task_state& task,
                                   core::monotonic_time now) const {
  const serving_stage stage = StageOf(task, now);
  if (stage == serving_stage::kGathers) return kNever;
  const double free = FreeShare(executor, task);
  if (executor.lasting == 0) {
    const double cost = free + kOpensCost;
    if (MayOpen()) return cost;
    return stage == serving_stage::kParticular ? kNever : cost + kReservedCost;
  }
  double alike = 1.0;
  bool own_job = false;
  const std::string* last = nullptr;
  for (const task_state* const other : executor.active) {
    if (!other->Spec().long_running()) continue;
    own_job |= other->job == task.job;
    const std::string& image = other->Spec().image();
    // Alike ones are placed together: most are of the image before.
    if (last != nullptr && image == *last) continue;
    last = &image;
    alike = std::min(alike, model_.Similarity(task.Spec().image(), image));
  }
  const double mixing =
      View(executor, now).images > 1 ? kMixedImagesCost : kSpoilsImageCost;
  return free + (own_job ? 0.0 : kOtherJobCost) + mixing * (1.0 - alike);
}

double sharing_policy::OrdinaryCost(const executor_state& executor,
                                    const task_state& task) const {
  // Best fit: whole gaps stay for serving tasks, which are larger. While those
  // wait for a gap, short tasks leave the gaps to them.
  const bool serving = executor.lasting > 0;
  return FreeShare(executor, task) +
         (serving == serving_waits_ ? kKeepFreeCost : 0.0);
}

std::optional<std::uint64_t> sharing_policy::Epoch(
    const task_state& task, core::monotonic_time now) const {
  if (task.Spec().fills()) {
    return model_.Solved() * kJobHopes + Hope(task, now);
  }
  if (!task.Spec().long_running()) return 0;
  return static_cast<std::uint64_t>(StageOf(task, now)) * 2 +
         (MayOpen() ? 1 : 0);
}

std::size_t sharing_policy::Hope(const task_state& task,
                                 core::monotonic_time now) const {
  const queue_spec* const queue = state_.FindQueue(task.job->Spec().queue());
  return static_cast<std::size_t>(
      HopeOf(Outlook(*task.job, task.occurrence, queue), now));
}

const sharing_policy::known_task& sharing_policy::Know(
    const task_state& task, core::monotonic_time now) const {
  if (known_.task == &task && known_.at == now) return known_;
  const std::string& image = task.Spec().image();
  known_ = {.task = &task,
            .at = now,
            .hope = Hope(task, now),
            .image = model_.FindFilling(image),
            .heaviness = model_.Heaviness(image)};
  return known_;
}

double sharing_policy::FillingCost(const executor_state& executor,
                                   const task_state& task,
                                   core::monotonic_time now) const {
  const sharing_view& view = View(executor, now);
  const double load = (view.use_millis + Millis(task)) / Capacity(executor);
  const double cost =
      kLoadSlope * load + kOvercommitSlope * std::max(0.0, load - 1.0);
  const known_task& known = Know(task, now);
  const double keep_open =
      kKeepOpenCost * view.openness * (1.0 - known.heaviness);
  if (!view.serving) return cost + kKeepFreeCost + keep_open;
  const double cores = CoresOf(executor, task);
  double pace = 1.0;
  double most = 0.0;
  for (const serving_budget& budget : view.budgets) {
    const double added = model_.PressureAt(budget.index, known.image) * cores;
    if (added < kNoPressure) continue;
    most = std::max(most, added);
    pace = std::min(pace, budget.room / (budget.used[known.hope] + added));
  }
  if (pace < kLeastPace) return kNever;
  return cost + keep_open + kPressureSlope * most + kSlowCost * (1.0 - pace);
}

const sharing_view& sharing_policy::View(const executor_state& executor,
                                         core::monotonic_time now) const {
  sharing_view& view = executor.sharing;
  if (view.fresh) return view;
  view = {.fresh = true};
  for (const task_state* const task : executor.active) {
    const bool lasts = task->Spec().long_running();
    view.serving |= lasts;
    view.use_millis += (lasts ? kServingUseShare : 1.0) * Millis(*task);
  }
  view.budgets = Budgets(executor, kPlacementAheadSeconds);
  view.images = view.budgets.size();
  for (const serving_budget& budget : view.budgets) {
    view.openness =
        std::min(view.openness, 1.0 - model_.Sensitivity(budget.image));
  }
  if (view.budgets.empty()) return view;
  for (const task_state* const task : executor.active) {
    if (!task->Spec().fills()) continue;
    const std::size_t hope = Hope(*task, now);
    const std::size_t image = model_.FindFilling(task->Spec().image());
    const double cores = CoresOf(executor, *task);
    for (serving_budget& budget : view.budgets) {
      const double pressure = model_.PressureAt(budget.index, image) * cores;
      for (std::size_t h = hope; h < kJobHopes; ++h) budget.used[h] += pressure;
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
    const double own =
        model_.OwnLoad(task->job->Id(), ahead_seconds).value_or(kUnknownLoad);
    const double room = std::max(0.0, limit - executor.margin - own);
    const auto known =
        std::ranges::find(budgets, image, &serving_budget::image);
    if (known == budgets.end()) {
      budgets.push_back(
          {.image = image, .index = model_.FindServing(image), .room = room});
    } else {
      known->room = std::min(known->room, room);
    }
  }
  return budgets;
}

void sharing_policy::ApplyAlarms(const executor_state& executor,
                                 std::vector<serving_budget>& budgets) const {
  for (const task_state* const task : executor.active) {
    if (!HasTail(*task)) continue;
    const double share = TailShare(*task);
    if (share <= kClearlyOver) continue;
    const auto budget = std::ranges::find(budgets, task->Spec().image(),
                                          &serving_budget::image);
    budget->room *= share > kFarOver ? 0.0 : kClearlyOverShare;
  }
}

double sharing_policy::CoresOf(const executor_state& executor,
                               const task_state& filling) {
  constexpr double kMillisPerCore = 1000.0;
  return Millis(filling) * sharing_model::kReferenceMillis /
         Capacity(executor) / kMillisPerCore;
}

double sharing_policy::PressureOf(const executor_state& executor,
                                  std::string_view serving,
                                  const task_state& filling) const {
  return model_.Pressure(serving, filling.Spec().image()) *
         CoresOf(executor, filling);
}

void sharing_policy::OnReport(executor_state& executor,
                              core::monotonic_time now) {
  Learn(executor, now);
  AdjustMargin(executor, now);
  executor.Touch();
  AdjustPace(executor, now);
}

void sharing_policy::AdjustPace(executor_state& executor,
                                core::monotonic_time now) {
  std::vector<pace_claim> claims;
  for (task_state* const task : executor.active) {
    if (!task->Spec().fills() || task->phase != task_phase::kRunning) continue;
    const job_outlook outlook =
        Outlook(*task->job, task->occurrence,
                state_.FindQueue(task->job->Spec().queue()));
    claims.push_back(
        {.hope = HopeOf(outlook, now), .due = outlook.due, .task = task});
  }
  if (claims.empty()) return;
  std::vector<serving_budget> budgets = Budgets(executor, kPaceAheadSeconds);
  ApplyAlarms(executor, budgets);
  const bool harmed = LongHarmed(executor, now);
  // The most hopeful gets full pace before the next gets any, so that a
  // shortage makes few jobs late.
  std::sort(claims.begin(), claims.end());
  std::vector<double> pressures;
  for (const pace_claim& claim : claims) {
    double pace = harmed ? 0.0 : 1.0;
    pressures.clear();
    const std::size_t image = model_.FindFilling(claim.task->Spec().image());
    const double cores = CoresOf(executor, *claim.task);
    for (serving_budget& budget : budgets) {
      const double pressure = model_.PressureAt(budget.index, image) * cores;
      pressures.push_back(pressure);
      if (pressure < kNoPressure || pressure <= budget.room) continue;
      pace = std::min(pace, std::max(0.0, budget.room / pressure));
    }
    for (std::size_t i = 0; i < budgets.size(); ++i) {
      budgets[i].room -= pace * pressures[i];
    }
    SetPace(executor, *claim.task, pace);
  }
}

void sharing_policy::Learn(executor_state& executor, core::monotonic_time now) {
  std::vector<sharing_model::filling_use> filling;
  std::vector<sharing_model::serving_tail> serving;
  for (task_state* const task : executor.active) {
    if (!task->listed) continue;
    if (!HasTail(*task) || TailShare(*task) <= 1.0)
      task->last_within_target = now;
    if (task->Spec().fills()) {
      filling.push_back(
          {.image = task->Spec().image(),
           .cpu_millis = static_cast<double>(task->reported_load)});
    } else if (HasTail(*task)) {
      serving.push_back({.job = task->job->Id(),
                         .index = task->index,
                         .image = task->Spec().image(),
                         .tail_ms = static_cast<double>(task->reported_load)});
    }
  }
  model_.Observe(executor.info.id, Capacity(executor), filling, serving, now);
}

void sharing_policy::SetPace(executor_state& executor, task_state& task,
                             double wanted) {
  const int steps =
      static_cast<int>(std::floor(wanted * kFullPace / kPaceRounding));
  const int percent = std::clamp(steps * kPaceRounding, 0, kFullPace);
  const int change = percent - task.pace_percent;
  const bool extreme =
      percent == 0 || percent == kFullPace || task.pace_percent == kUnknownPace;
  if (change == 0 || (!extreme && change > 0 && change < kPaceRise)) return;
  if (change > 0 && !Calm(executor, task)) return;
  task.pace_percent = percent;
  state_.outgoing.paces.push_back({.executor = executor.info.id,
                                   .task = task.Ref(),
                                   .run = task.run,
                                   .percent = percent});
}

bool sharing_policy::Calm(const executor_state& executor,
                          const task_state& filling) const {
  return std::ranges::none_of(executor.active, [&](const task_state* task) {
    return HasTail(*task) && TailShare(*task) > kCalmTail &&
           PressureOf(executor, task->Spec().image(), filling) >= kNoPressure;
  });
}

}  // namespace waxwingfront::fleet
