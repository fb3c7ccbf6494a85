// Synthetic jobs as the callers of the enlarged Bucle Andino site submit them.
#ifndef WAXWINGFRONT_BENCH_FLEET_LOAD_H_
#define WAXWINGFRONT_BENCH_FLEET_LOAD_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

inline constexpr int kServingImages = 10;
inline constexpr int kBestEffortImages = 18;

struct job_class {
  std::string_view queue;
  // Relative share of the submitted jobs.
  double share;
  double steps;
  double max_steps;
  double width;
  double width_spread;
  double max_width;
  double cpu;
  double cpu_spread;
  double max_cpu;
  double memory;
  double work_ms;
  double max_work_ms;
  double failure_probability;
  // Share of steps that run at most one task per executor.
  double one_per_executor_share;
  // Jobs submitted at the start.
  int initial_jobs;
};

// Ordinary, best-effort and long-running jobs.
inline constexpr std::array<job_class, 3> kClasses{
    {{"field-check", 16.5, 1.6, 4, 9.5, 0.8, 57, 5700, 0.45, 17'000, 11'000,
      640, 1600, 0.05, 0.15, 0},
     {"loop-design", 27.7, 2.0, 5, 20, 0.6, 80, 3500, 0.3, 7000, 6400, 1700,
      4300, 0.02, 0.0, 47},
     {"loop-watch", 0.906, 1.0, 1, 14, 0.4, 28, 6400, 0.25, 10'000, 13'000, 320,
      800, 0.0, 0.5, 163}}};

// Draws from a lognormal distribution with the given mean, capped at `max`;
// `spread` is the standard deviation of the logarithm.
template <std::uniform_random_bit_generator generator>
double Draw(generator& random, double mean, double spread, double max) {
  if (spread <= 0.0) return std::min(max, mean);
  std::lognormal_distribution<double> values(
      std::log(mean) - spread * spread / 2, spread);
  return std::min(max, values(random));
}

// Draws the class of the next job.
const job_class& DrawClass(std::mt19937& random);

// Draws a job of the class with the given index in `kClasses`. Sets `image` to
// the number of the image that its tasks run.
schema::fleet_job DrawJob(std::mt19937& random, std::size_t class_index,
                          int number, int& image);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_BENCH_FLEET_LOAD_H_
