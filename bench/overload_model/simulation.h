// Drives the leader's decision core with modelled executors and callers, in
// simulated time.
#ifndef WAXWINGFRONT_BENCH_OVERLOAD_MODEL_SIMULATION_H_
#define WAXWINGFRONT_BENCH_OVERLOAD_MODEL_SIMULATION_H_

#include <cstdint>

#include "overload_model/result.h"
#include "overload_model/settings.h"

namespace waxwingfront::overload_model {

struct run_options {
  // Multiple of the classes' rates in the measured time.
  double load = 1.0;
  std::uint64_t seed = 1;
  std::int64_t measured_ms = 35'000;
};

// Runs the model. The result depends on the arguments only.
load_result Simulate(const model_settings& settings,
                     const run_options& options);

}  // namespace waxwingfront::overload_model

#endif  // WAXWINGFRONT_BENCH_OVERLOAD_MODEL_SIMULATION_H_
