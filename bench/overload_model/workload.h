// Jobs of the overload model, with what their callers and executors know of
// them and the leader does not.
#ifndef WAXWINGFRONT_BENCH_OVERLOAD_MODEL_WORKLOAD_H_
#define WAXWINGFRONT_BENCH_OVERLOAD_MODEL_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "overload_model/settings.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::overload_model {

struct modelled_task {
  double work_ms = 0.0;
  // Work that a checkpoint has saved.
  double saved_ms = 0.0;
  bool succeeded = false;
  bool running = false;
  // Each of its runs fails.
  bool doomed = false;
};

struct modelled_step {
  std::vector<modelled_task> tasks;
  std::size_t succeeded = 0;
  std::size_t running = 0;
  // When its tasks could start first, and when the last first run of one
  // began.
  std::optional<std::int64_t> ready_ms;
  std::int64_t last_start_ms = 0;
};

struct modelled_job {
  std::size_t class_index = 0;
  schema::fleet_job spec;
  std::vector<modelled_step> steps;
  int image = 0;
  // Position in the swing of its own load, in radians.
  double phase = 0.0;
  bool doomed = false;
  double objective_ms = 0.0;
  // Time from its acceptance until its caller cancels it.
  std::optional<double> cancel_after_ms;

  // Its first attempt was in the measured time.
  bool measured = false;
  std::int64_t first_attempt_ms = 0;
  std::int64_t accepted_ms = 0;
  int refusals = 0;
  std::int64_t cancel_ms = 0;
  // Time and core time of its runs.
  double run_ms = 0.0;
  double core_ms = 0.0;

  // The step that runs or waits; null once all are done.
  modelled_step* CurrentStep();
};

// Draws a job that is not submitted yet.
modelled_job DrawModelledJob(std::mt19937_64& random,
                             const model_settings& settings,
                             std::size_t class_index, int number);

}  // namespace waxwingfront::overload_model

#endif  // WAXWINGFRONT_BENCH_OVERLOAD_MODEL_WORKLOAD_H_
