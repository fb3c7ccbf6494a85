// Settings of the overload model: executors, classes of jobs, and callers.
#ifndef WAXWINGFRONT_BENCH_OVERLOAD_MODEL_SETTINGS_H_
#define WAXWINGFRONT_BENCH_OVERLOAD_MODEL_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingfront::overload_model {

// Parameters of `fleet::Draw`.
struct distribution {
  double mean = 1.0;
  double spread = 0.0;
  double max = 1.0;
};

enum class job_kind { kOrdinary, kBestEffort, kServing };

struct class_settings {
  std::string name;
  job_kind kind = job_kind::kOrdinary;
  // Jobs per second at load 1, and jobs submitted at the start.
  double jobs_per_second = 1.0;
  int initial_jobs = 0;
  int priority = 0;
  // Runs of a task that may fail before its job fails.
  int attempts = 1;
  // The objective is `stretch` times the longest chain of work plus
  // `target_duration_ms`.
  double stretch = 1.0;
  std::int64_t target_duration_ms = 0;
  // Benefit of a job on time and of a late one.
  double worth = 1.0;
  double late_worth = 0.0;
  // How often a caller comes back after a refusal.
  int returns = 0;
  distribution steps;
  distribution width;
  distribution cpu_millis;
  distribution memory_mib;
  distribution work_ms;
  // Standard deviation of the logarithm of the work of a step's tasks.
  double task_spread = 0.0;
  // Estimates are off by up to a factor of 1 plus this.
  double estimate_error = 0.0;
  // Shares of the runs that fail, of the jobs that cannot be done, and of the
  // jobs that their callers cancel.
  double failing_runs = 0.0;
  double doomed_jobs = 0.0;
  double cancelled_jobs = 0.0;
  // Share of steps that run at most one task per executor.
  double one_per_executor = 0.0;
  // Time until a long-running job is cancelled.
  distribution stay_s;
  int images = 1;
};

struct executor_settings {
  int count = 48;
  std::int64_t cpu_millis = 32'000;
  std::int64_t memory_mib = 128'000;
  // Part by which best-effort work takes longer for each capacity that tasks
  // use beyond the first.
  double overcommit_slowdown = 0.2;
  std::int64_t start_delay_ms = 10;
  // Minimum time between two reports, and maximum time without one.
  std::int64_t report_pause_ms = 100;
  std::int64_t report_wait_ms = 500;
};

struct serving_settings {
  // Tail latency without load, and the target.
  double base_ms = 4.0;
  std::int64_t target_ms = 18;
  // Mean utilisation, relative amplitude of its swing, and the period.
  double load = 0.42;
  double swing = 0.5;
  double swing_ms = 10'000.0;
  // Time constant of tail latencies.
  double smoothing_ms = 700.0;
  // Utilisation that one core of a best-effort image adds to a serving image,
  // and the share of the best-effort images that are heavy to a serving one.
  double heavy_pressure = 0.03;
  double light_pressure = 0.003;
  double heavy_share = 0.5;
};

struct model_settings {
  executor_settings executors;
  serving_settings serving;
  std::vector<class_settings> classes;
  std::int64_t plan_period_ms = 20;
  std::int64_t write_ms = 30;
  std::size_t records_per_write = 120;
  // Callers return after Retry-After plus up to this share of it.
  double return_spread = 0.2;
  // Callers cancel jobs that can no longer be useful.
  bool give_up = false;
  // Time at load 1 before the measured time.
  std::int64_t warm_up_ms = 5000;
  // Time after the measured time in which jobs may still end.
  std::int64_t finish_ms = 14'000;
};

// Reads an INI file. Throws `Poco::Exception` if a setting is missing or
// malformed.
model_settings LoadSettings(const std::string& path);

}  // namespace waxwingfront::overload_model

#endif  // WAXWINGFRONT_BENCH_OVERLOAD_MODEL_SETTINGS_H_
