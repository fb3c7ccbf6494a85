#include "fleet_load.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace waxwingfront::fleet {
namespace {

constexpr std::int64_t kTargetMs = 18;
constexpr std::size_t kPayloadBytes = 300;

}  // namespace

const job_class& DrawClass(std::mt19937& random) {
  double total_share = 0.0;
  for (const job_class& profile : kClasses) total_share += profile.share;
  double remaining_share =
      std::uniform_real_distribution<double>(0.0, total_share)(random);
  const job_class* chosen = kClasses.data();
  while (remaining_share > chosen->share && chosen + 1 < kClasses.end()) {
    remaining_share -= chosen->share;
    ++chosen;
  }
  return *chosen;
}

schema::fleet_job DrawJob(std::mt19937& random, std::size_t class_index,
                          int number, int& image) {
  const job_class& profile = kClasses.at(class_index);
  schema::fleet_job job;
  job.set_id("job-" + std::to_string(number) + "-0123456789abcdef");
  job.set_queue(std::string(profile.queue));
  job.set_service("bucle-api");
  job.set_payload(std::string(kPayloadBytes, 'x'));
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  const bool long_running = class_index == 2;
  const bool best_effort = class_index == 1;
  const int steps =
      long_running
          ? 1
          : std::max(1, static_cast<int>(std::lround(Draw(
                            random, profile.steps, 0.4, profile.max_steps))));
  image = static_cast<int>(random() %
                           (best_effort ? kBestEffortImages : kServingImages));
  for (int s = 0; s < steps; ++s) {
    schema::fleet_step& step = *job.add_steps();
    step.set_task_count(static_cast<std::uint32_t>(std::max(
        1.0, std::round(Draw(random, profile.width, profile.width_spread,
                             profile.max_width)))));
    step.set_cpu_millis(static_cast<std::int64_t>(
        Draw(random, profile.cpu, profile.cpu_spread, profile.max_cpu)));
    step.set_memory_mb(static_cast<std::int64_t>(
        Draw(random, profile.memory, 0.3, 2 * profile.memory)));
    step.set_estimated_ms(static_cast<std::int64_t>(
        Draw(random, profile.work_ms, 0.5, profile.max_work_ms)));
    if (s > 0) step.add_after(static_cast<std::uint32_t>(s - 1));
    if (unit(random) < profile.one_per_executor_share)
      step.set_max_per_executor(1);
    step.set_fills(best_effort);
    step.set_checkpointing(best_effort);
    step.set_long_running(long_running);
    if (long_running) step.set_target_ms(kTargetMs);
    if (long_running || best_effort) {
      step.set_image((best_effort ? "fill-" : "serve-") +
                     std::to_string(image));
    }
  }
  return job;
}

}  // namespace waxwingfront::fleet
