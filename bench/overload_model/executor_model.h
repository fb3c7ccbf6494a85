// An executor on which tasks share processors and best-effort tasks disturb
// serving ones.
#ifndef WAXWINGFRONT_BENCH_OVERLOAD_MODEL_EXECUTOR_MODEL_H_
#define WAXWINGFRONT_BENCH_OVERLOAD_MODEL_EXECUTOR_MODEL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "overload_model/settings.h"
#include "overload_model/workload.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::overload_model {

// Utilisation that one core of a best-effort image adds to a serving image.
class pressure_table {
 public:
  pressure_table(std::mt19937_64& random, const model_settings& settings);
  double Of(int serving_image, int best_effort_image) const;

 private:
  std::vector<std::vector<double>> values_;
};

// Sums over the time of tasks, in milliseconds of the tasks.
struct sharing_sums {
  double serving_ms = 0.0;
  // Above the target because of best-effort tasks.
  double over_target_ms = 0.0;
  double best_effort_ms = 0.0;
  int best_effort_runs_done = 0;
  // Weighted by the pace, and by the speed at this pace.
  double paced_ms = 0.0;
  double worked_ms = 0.0;
  // Utilisation that serving tasks had left below their targets, and the part
  // of it that best-effort tasks took, weighted by the time.
  double headroom = 0.0;
  double interference = 0.0;
};

class executor_model {
 public:
  executor_model(std::string id, const model_settings& settings,
                 const pressure_table& pressures, sharing_sums& sums);

  const std::string& Id() const { return id_; }

  // Begins a run. `fails_at_ms` is the work after which it fails, if it does.
  void Start(const fleet::start_order& order,
             const std::shared_ptr<modelled_job>& job,
             std::optional<double> fails_at_ms);
  void Stop(const fleet::stop_order& order);
  void SetPace(const fleet::pace_order& order);
  // Lets all runs work for `step_ms` until `now_ms`.
  void Advance(std::int64_t now_ms, double step_ms);

  // True if an end was not reported yet.
  bool HasNewEnds() const { return !ended_.empty() && !ends_reported_; }
  fleet::hold_report Report(std::int64_t now_ms);
  // Forgets ends up to this number.
  void Acknowledge(std::uint64_t number);

  std::int64_t last_report_ms = -1'000'000;

 private:
  struct run {
    std::shared_ptr<modelled_job> job;
    fleet::task_ref task;
    std::uint32_t number = 0;
    double worked_ms = 0.0;
    std::optional<double> fails_at_ms;
    int pace = 100;
    double mean_use_millis = 0.0;
    double utilisation = 0.0;

    const schema::fleet_step& Spec() const;
    modelled_task& Task() const;
  };

  // Share of its pace at which best-effort work runs.
  double BestEffortShare(std::int64_t now_ms) const;
  double OwnLoad(const run& serving, std::int64_t now_ms) const;
  double InterferenceOn(const run& serving, double share) const;
  void Serve(run& serving, std::int64_t now_ms, double step_ms, double share);
  // Returns true if the run has ended.
  bool Work(run& task, double step_ms, double share);
  void End(const run& task, fleet::run_end how);

  std::string id_;
  const model_settings& settings_;
  const pressure_table& pressures_;
  sharing_sums& sums_;
  std::vector<run> runs_;
  std::vector<fleet::ended_report> ended_;
  std::uint64_t ends_ = 0;
  bool ends_reported_ = true;
};

}  // namespace waxwingfront::overload_model

#endif  // WAXWINGFRONT_BENCH_OVERLOAD_MODEL_EXECUTOR_MODEL_H_
