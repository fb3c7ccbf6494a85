#include "overload_model/workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "fleet_load.h"

namespace waxwingfront::overload_model {
namespace {

constexpr double kMillisPerSecond = 1000.0;

double Draw(std::mt19937_64& random, const distribution& from) {
  return fleet::Draw(random, from.mean, from.spread, from.max);
}

std::size_t DrawCount(std::mt19937_64& random, const distribution& from) {
  return static_cast<std::size_t>(
      std::max(1.0, std::round(Draw(random, from))));
}

double Unit(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

// Returns the factor by which an estimate is off.
double DrawError(std::mt19937_64& random, double error) {
  const double bound = std::log1p(error);
  return std::exp(bound * (2.0 * Unit(random) - 1.0));
}

schema::fleet_step DrawStep(std::mt19937_64& random,
                            const model_settings& settings,
                            const class_settings& profile, int image) {
  schema::fleet_step step;
  step.set_task_count(
      static_cast<std::uint32_t>(DrawCount(random, profile.width)));
  step.set_cpu_millis(
      static_cast<std::int64_t>(Draw(random, profile.cpu_millis)));
  step.set_memory_mb(
      static_cast<std::int64_t>(Draw(random, profile.memory_mib)));
  if (Unit(random) < profile.one_per_executor) {
    step.set_max_per_executor(1);
    step.set_task_count(
        std::min(step.task_count(),
                 static_cast<std::uint32_t>(settings.executors.count)));
  }
  const bool best_effort = profile.kind == job_kind::kBestEffort;
  const bool serving = profile.kind == job_kind::kServing;
  step.set_fills(best_effort);
  step.set_checkpointing(best_effort);
  step.set_long_running(serving);
  if (serving) step.set_target_ms(settings.serving.target_ms);
  if (serving || best_effort) {
    step.set_image((best_effort ? "fill-" : "serve-") + std::to_string(image));
  }
  return step;
}

}  // namespace

modelled_step* modelled_job::CurrentStep() {
  const auto found = std::ranges::find_if(steps, [](const modelled_step& step) {
    return step.succeeded < step.tasks.size();
  });
  return found == steps.end() ? nullptr : &*found;
}

modelled_job DrawModelledJob(std::mt19937_64& random,
                             const model_settings& settings,
                             std::size_t class_index, int number) {
  const class_settings& profile = settings.classes.at(class_index);
  modelled_job job{.class_index = class_index};
  job.spec.set_id(profile.name + "-" + std::to_string(number));
  job.spec.set_queue(profile.name);
  job.spec.set_service("executors");
  job.image = std::uniform_int_distribution<int>(0, profile.images - 1)(random);
  job.phase = 2.0 * std::numbers::pi * Unit(random);
  job.doomed = Unit(random) < profile.doomed_jobs;
  double chain_ms = 0.0;
  const std::size_t steps = DrawCount(random, profile.steps);
  for (std::size_t s = 0; s < steps; ++s) {
    schema::fleet_step spec = DrawStep(random, settings, profile, job.image);
    if (s > 0) spec.add_after(static_cast<std::uint32_t>(s - 1));
    const double mean_ms = Draw(random, profile.work_ms);
    spec.set_estimated_ms(std::max<std::int64_t>(
        1, std::llround(mean_ms * DrawError(random, profile.estimate_error))));
    modelled_step step;
    double longest_ms = 0.0;
    for (std::uint32_t i = 0; i < spec.task_count(); ++i) {
      const double work_ms = fleet::Draw(random, mean_ms, profile.task_spread,
                                         profile.work_ms.max);
      longest_ms = std::max(longest_ms, work_ms);
      step.tasks.push_back({.work_ms = work_ms});
    }
    chain_ms += longest_ms;
    *job.spec.add_steps() = std::move(spec);
    job.steps.push_back(std::move(step));
  }
  if (job.doomed) {
    modelled_task& task = job.steps.front().tasks.front();
    task.doomed = true;
    chain_ms = task.work_ms * profile.attempts;
  }
  job.objective_ms = profile.stretch * chain_ms +
                     static_cast<double>(profile.target_duration_ms);
  if (profile.kind == job_kind::kServing) {
    job.cancel_after_ms = Draw(random, profile.stay_s) * kMillisPerSecond;
  } else if (Unit(random) < profile.cancelled_jobs) {
    job.cancel_after_ms = Unit(random) * job.objective_ms;
  }
  return job;
}

}  // namespace waxwingfront::overload_model
