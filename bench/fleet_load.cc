#include "fleet_load.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace waxwingfront::fleet {
namespace {

constexpr std::int64_t kTargetMs = 18;
constexpr std::size_t kPayloadBytes = 300;

}  // namespace

double Draw(std::mt19937& random, double mean, double spread, double most) {
  std::lognormal_distribution<double> shape(
      std::log(mean) - spread * spread / 2, spread);
  return std::min(most, shape(random));
}

const job_class& DrawClass(std::mt19937& random) {
  double all = 0.0;
  for (const job_class& one : kClasses) all += one.share;
  double pick = std::uniform_real_distribution<double>(0.0, all)(random);
  const job_class* chosen = kClasses.data();
  while (pick > chosen->share && chosen + 1 < kClasses.end()) {
    pick -= chosen->share;
    ++chosen;
  }
  return *chosen;
}

schema::fleet_job DrawJob(std::mt19937& random, std::size_t kind, int number,
                          int& image) {
  const job_class& one = kClasses.at(kind);
  schema::fleet_job job;
  job.set_id("job-" + std::to_string(number) + "-0123456789abcdef");
  job.set_queue(std::string(one.queue));
  job.set_service("bucle-api");
  job.set_payload(std::string(kPayloadBytes, 'x'));
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  const bool lasts = kind == 2;
  const bool fills = kind == 1;
  const int steps =
      lasts ? 1
            : std::max(1, static_cast<int>(std::lround(
                              Draw(random, one.steps, 0.4, one.most_steps))));
  image =
      static_cast<int>(random() % (fills ? kFillingImages : kServingImages));
  for (int s = 0; s < steps; ++s) {
    schema::fleet_step& step = *job.add_steps();
    step.set_task_count(static_cast<std::uint32_t>(
        std::max(1.0, std::round(Draw(random, one.width, one.width_spread,
                                      one.most_width)))));
    step.set_cpu_millis(static_cast<std::int64_t>(
        Draw(random, one.cpu, one.cpu_spread, one.most_cpu)));
    step.set_memory_mb(static_cast<std::int64_t>(
        Draw(random, one.memory, 0.3, 2 * one.memory)));
    step.set_estimated_ms(static_cast<std::int64_t>(
        Draw(random, one.work_ms, 0.5, one.most_work_ms)));
    if (s > 0) step.add_after(static_cast<std::uint32_t>(s - 1));
    if (unit(random) < one.apart) step.set_max_per_executor(1);
    step.set_fills(fills);
    step.set_checkpointing(fills);
    step.set_long_running(lasts);
    if (lasts) step.set_target_ms(kTargetMs);
    if (lasts || fills) {
      step.set_image((fills ? "fill-" : "serve-") + std::to_string(image));
    }
  }
  return job;
}

}  // namespace waxwingfront::fleet
