// Callers that submit jobs, come back when they are refused, cancel, and judge
// how their jobs ended.
#ifndef WAXWINGFRONT_BENCH_OVERLOAD_MODEL_CALLERS_H_
#define WAXWINGFRONT_BENCH_OVERLOAD_MODEL_CALLERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "overload_model/result.h"
#include "overload_model/settings.h"
#include "overload_model/simulation.h"
#include "overload_model/workload.h"
#include "waxwingfront/fleet/fleet_core.h"

namespace waxwingfront::overload_model {

// Judges a job that ended this long after its first attempt.
job_outcome JudgeEnd(double elapsed_ms, double objective_ms);

struct task_counts {
  std::size_t waiting = 0;
  std::size_t running = 0;
};

class callers {
 public:
  callers(const model_settings& settings, const run_options& options,
          fleet::fleet_core& core, std::mt19937_64& random);

  void SubmitInitialJobs(fleet::moment at);
  // Draws the jobs whose first attempt is in the step that begins at `now_ms`.
  void Arrive(std::int64_t now_ms, std::int64_t step_ms);
  // Submits and cancels the jobs that are due.
  void Act(fleet::moment at, std::int64_t now_ms);
  // Records jobs that are shown as ended or given up, and steps that are ready.
  void ObserveEnds(fleet::moment at, std::int64_t now_ms);
  // Ends the observation: jobs without an end are useless.
  std::vector<class_result> Finish();

  // A job that was submitted.
  const std::shared_ptr<modelled_job>& Job(const std::string& id) const {
    return jobs_.at(id);
  }
  task_counts CountBestEffortTasks() const;

 private:
  using job_pointer = std::shared_ptr<modelled_job>;

  std::shared_ptr<modelled_job> Draw(std::size_t class_index,
                                     std::int64_t now_ms, bool measured);
  void Submit(const job_pointer& job, fleet::moment at, std::int64_t now_ms);
  // Returns after which time a refused caller should come back.
  std::optional<core::milliseconds> Refusal(const schema::fleet_job& job,
                                            fleet::moment at);
  void OnRefused(const job_pointer& job, core::milliseconds retry_after,
                 std::int64_t now_ms);
  void CountEnd(modelled_job& job, job_outcome outcome, std::int64_t now_ms);
  static void ObserveSteps(modelled_job& job, std::int64_t now_ms);

  const model_settings& settings_;
  run_options options_;
  fleet::fleet_core& core_;
  std::mt19937_64& random_;
  std::vector<class_result> results_;
  std::multimap<std::int64_t, job_pointer> attempts_;
  std::multimap<std::int64_t, job_pointer> cancels_;
  std::unordered_map<std::string, job_pointer> jobs_;
  // Submitted jobs that have not ended, in the order of submission.
  std::vector<job_pointer> live_;
  int drawn_ = 0;
};

}  // namespace waxwingfront::overload_model

#endif  // WAXWINGFRONT_BENCH_OVERLOAD_MODEL_CALLERS_H_
