// What one run of the overload model shows.
#ifndef WAXWINGFRONT_BENCH_OVERLOAD_MODEL_RESULT_H_
#define WAXWINGFRONT_BENCH_OVERLOAD_MODEL_RESULT_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "overload_model/executor_model.h"

namespace waxwingfront::overload_model {

enum class job_outcome { kOnTime, kLate, kUseless, kCancelled, kRefused };
inline constexpr std::size_t kOutcomes = 5;

using sample_set = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
        boost::accumulators::tag::count, boost::accumulators::tag::mean,
        boost::accumulators::tag::tail_quantile<boost::accumulators::left>>>;

// Returns an empty set that is exact up to 100,000 samples.
sample_set EmptySampleSet();

// Returns 0 if there are no samples.
double MeanOf(const sample_set& samples);
double QuantileOf(const sample_set& samples, double probability);

// Jobs of one class whose callers asked first in the measured time.
struct class_result {
  std::string name;
  // Jobs that were not cancelled, and how they ended.
  int asked = 0;
  std::array<int, kOutcomes> ended{};
  // Refusals, some of jobs that were accepted later.
  int refusals = 0;
  double worth_owed = 0.0;
  double worth = 0.0;
  // Milliseconds from the first attempt to the end of jobs that were served.
  sample_set served_ms = EmptySampleSet();
  // Milliseconds from the readiness of a step to the last start of its tasks,
  // for first steps and later ones.
  sample_set first_wait_ms = EmptySampleSet();
  sample_set later_wait_ms = EmptySampleSet();
  // Time and core time of the runs of all jobs, by outcome.
  std::array<double, kOutcomes> run_s{};
  std::array<double, kOutcomes> core_s{};

  int Ended(job_outcome outcome) const {
    return ended.at(static_cast<std::size_t>(outcome));
  }
};

struct load_result {
  double load = 1.0;
  std::uint64_t seed = 0;
  std::vector<class_result> classes;
  // Means over the measured time, of best-effort tasks.
  double waiting = 0.0;
  double running = 0.0;
  sharing_sums sharing;
};

}  // namespace waxwingfront::overload_model

#endif  // WAXWINGFRONT_BENCH_OVERLOAD_MODEL_RESULT_H_
