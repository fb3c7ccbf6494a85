#include "overload_model/executor_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace waxwingfront::overload_model {
namespace {

constexpr double kFullPace = 100.0;
constexpr double kMillisPerCore = 1000.0;
constexpr double kMaxTailMs = 300.0;
constexpr double kMinIdleShare = 0.01;
constexpr int kServingPercent = 100;
// Time constant of the processor use in reports.
constexpr double kUseMemoryMs = 250.0;

}  // namespace

pressure_table::pressure_table(std::mt19937_64& random,
                               const model_settings& settings) {
  int serving_images = 1;
  int best_effort_images = 1;
  for (const class_settings& profile : settings.classes) {
    if (profile.kind == job_kind::kServing) serving_images = profile.images;
    if (profile.kind == job_kind::kBestEffort) {
      best_effort_images = profile.images;
    }
  }
  const serving_settings& serving = settings.serving;
  const auto heavy_pairs = static_cast<std::size_t>(
      std::llround(serving.heavy_share * best_effort_images));
  for (int s = 0; s < serving_images; ++s) {
    std::vector<double>& row = values_.emplace_back(
        static_cast<std::size_t>(best_effort_images), serving.light_pressure);
    std::fill_n(row.begin(), std::min(heavy_pairs, row.size()),
                serving.heavy_pressure);
    std::ranges::shuffle(row, random);
  }
}

double pressure_table::Of(int serving_image, int best_effort_image) const {
  return values_.at(static_cast<std::size_t>(serving_image))
      .at(static_cast<std::size_t>(best_effort_image));
}

const schema::fleet_step& executor_model::run::Spec() const {
  return job->spec.steps(static_cast<int>(task.step));
}

modelled_task& executor_model::run::Task() const {
  return job->steps.at(task.step).tasks.at(task.index);
}

executor_model::executor_model(std::string id, const model_settings& settings,
                               const pressure_table& pressures,
                               sharing_sums& sums)
    : id_(std::move(id)),
      settings_(settings),
      pressures_(pressures),
      sums_(sums) {}

void executor_model::Start(const fleet::start_order& order,
                           const std::shared_ptr<modelled_job>& job,
                           std::optional<double> fails_at_ms) {
  run started{.job = job,
              .task = order.task,
              .number = order.run,
              .fails_at_ms = fails_at_ms,
              .utilisation = settings_.serving.load};
  started.worked_ms = started.Task().saved_ms;
  started.Task().running = true;
  ++job->steps.at(order.task.step).running;
  runs_.push_back(std::move(started));
}

void executor_model::Stop(const fleet::stop_order& order) {
  std::erase_if(runs_, [&](const run& task) {
    if (task.task != order.task || task.number != order.run) return false;
    if (task.Spec().checkpointing()) task.Task().saved_ms = task.worked_ms;
    End(task, fleet::run_end::kStopped);
    return true;
  });
}

void executor_model::SetPace(const fleet::pace_order& order) {
  for (run& task : runs_) {
    if (task.task == order.task && task.number == order.run) {
      task.pace = order.percent;
    }
  }
}

void executor_model::Advance(std::int64_t now_ms, double step_ms) {
  const double share = BestEffortShare(now_ms);
  for (run& task : runs_) {
    if (task.Spec().long_running()) Serve(task, now_ms, step_ms, share);
  }
  std::erase_if(runs_, [&](run& task) {
    return !task.Spec().long_running() && Work(task, step_ms, share);
  });
}

double executor_model::BestEffortShare(std::int64_t now_ms) const {
  double wanted = 0.0;
  for (const run& task : runs_) {
    const auto cpu = static_cast<double>(task.Spec().cpu_millis());
    if (task.Spec().fills()) {
      wanted += cpu * task.pace / kFullPace;
    } else if (task.Spec().long_running()) {
      wanted += cpu * OwnLoad(task, now_ms);
    } else {
      wanted += cpu;
    }
  }
  const double overcommit = std::max(
      0.0, wanted / static_cast<double>(settings_.executors.cpu_millis) - 1.0);
  return 1.0 / (1.0 + settings_.executors.overcommit_slowdown * overcommit);
}

double executor_model::OwnLoad(const run& serving, std::int64_t now_ms) const {
  const double angle = 2.0 * std::numbers::pi * static_cast<double>(now_ms) /
                       settings_.serving.swing_ms;
  return settings_.serving.load *
         (1.0 + settings_.serving.swing * std::sin(angle + serving.job->phase));
}

double executor_model::InterferenceOn(const run& serving, double share) const {
  double sum = 0.0;
  for (const run& other : runs_) {
    if (!other.Spec().fills()) continue;
    sum += pressures_.Of(serving.job->image, other.job->image) *
           static_cast<double>(other.Spec().cpu_millis()) / kMillisPerCore *
           other.pace / kFullPace * share;
  }
  return sum;
}

void executor_model::Serve(run& serving, std::int64_t now_ms, double step_ms,
                           double share) {
  const double limit =
      1.0 - settings_.serving.base_ms /
                static_cast<double>(settings_.serving.target_ms);
  const double own = OwnLoad(serving, now_ms);
  const double interference = InterferenceOn(serving, share);
  serving.utilisation +=
      (own + interference - serving.utilisation) *
      (1.0 - std::exp(-step_ms / settings_.serving.smoothing_ms));
  sums_.serving_ms += step_ms;
  sums_.headroom += std::max(0.0, limit - own) * step_ms;
  sums_.interference += interference * step_ms;
  if (own <= limit && own + interference > limit) {
    sums_.over_target_ms += step_ms;
  }
}

bool executor_model::Work(run& task, double step_ms, double share) {
  const auto cpu = static_cast<double>(task.Spec().cpu_millis());
  double speed = 1.0;
  if (task.Spec().fills()) {
    const double pace = task.pace / kFullPace;
    speed = pace * share;
    sums_.best_effort_ms += step_ms;
    sums_.paced_ms += pace * step_ms;
    sums_.worked_ms += speed * step_ms;
  }
  task.worked_ms += speed * step_ms;
  task.job->run_ms += step_ms;
  task.job->core_ms += speed * step_ms * cpu / kMillisPerCore;
  task.mean_use_millis += (cpu * speed - task.mean_use_millis) *
                          (1.0 - std::exp(-step_ms / kUseMemoryMs));
  if (task.fails_at_ms && task.worked_ms >= *task.fails_at_ms) {
    End(task, fleet::run_end::kFailed);
    return true;
  }
  if (task.worked_ms < task.Task().work_ms) return false;
  task.Task().succeeded = true;
  if (task.Spec().fills()) ++sums_.best_effort_runs_done;
  ++task.job->steps.at(task.task.step).succeeded;
  End(task, fleet::run_end::kDone);
  return true;
}

void executor_model::End(const run& task, fleet::run_end how) {
  task.Task().running = false;
  --task.job->steps.at(task.task.step).running;
  ended_.push_back({.number = ++ends_,
                    .task = task.task,
                    .run = task.number,
                    .how = how,
                    .checkpoint = task.Task().saved_ms > 0.0 ? "c" : ""});
  ends_reported_ = false;
}

fleet::hold_report executor_model::Report(std::int64_t now_ms) {
  fleet::hold_report report{.born_ms = 1, .clock_ms = now_ms, .ended = ended_};
  for (const run& task : runs_) {
    fleet::running_report row{.task = task.task, .run = task.number};
    if (task.Spec().long_running()) {
      row.percent = kServingPercent;
      row.reported_load = std::lround(std::min(
          kMaxTailMs, settings_.serving.base_ms /
                          std::max(kMinIdleShare, 1.0 - task.utilisation)));
    } else {
      row.percent = static_cast<int>(
          std::min(99.0, 100.0 * task.worked_ms / task.Task().work_ms));
      row.reported_load = std::lround(task.mean_use_millis);
      if (task.Spec().checkpointing()) row.checkpoint = "c";
    }
    report.running.push_back(std::move(row));
  }
  ends_reported_ = true;
  last_report_ms = now_ms;
  return report;
}

void executor_model::Acknowledge(std::uint64_t number) {
  std::erase_if(ended_, [number](const fleet::ended_report& end) {
    return end.number <= number;
  });
}

}  // namespace waxwingfront::overload_model
