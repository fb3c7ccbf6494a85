// Metrics and log lines about short work: what is in progress, and what became
// of the time for which it held executors.
#ifndef WAXWINGFRONT_FLEET_WORK_MONITOR_H_
#define WAXWINGFRONT_FLEET_WORK_MONITOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/fleet/work_admission.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/metrics/registry.h"

namespace waxwingfront::fleet {

// What became of a job: completed within its objective, within three times its
// objective, or later; or not completed.
enum class job_outcome { kOnTime, kLate, kUseless, kFailed, kCancelled };
inline constexpr std::size_t kJobOutcomes = 5;

std::string_view OutcomeName(job_outcome outcome);

// Returns the outcome of a final job that ended at `now`.
job_outcome OutcomeOf(const job_state& job, core::monotonic_time now);

class work_monitor {
 public:
  work_monitor(metrics::registry& metrics, logging::event_log& log)
      : metrics_(metrics), log_(log) {}

  // Counts a run that has ended if its job is final already; `JobFinal` counts
  // the others.
  void RunEnded(const task_state& task, core::monotonic_time now);
  void JobFinal(const job_state& job, core::monotonic_time now);
  void Refused(const std::string& job, const work_refusal& refusal);
  // Sets the gauges and, if there was any work since the last report, writes a
  // line. Called each second.
  void Report(const work_sample& sample);

 private:
  // Since the last report.
  struct totals {
    std::array<core::milliseconds, kJobOutcomes> executor_time{};
    std::int64_t refused = 0;
    std::int64_t completed = 0;
    // Sums over completed jobs.
    core::milliseconds estimated{0};
    core::milliseconds took{0};

    friend bool operator==(const totals&, const totals&) = default;
  };

  // Returns the queue's label; the number of labels is limited.
  std::string LabelOf(const std::string& queue);
  void Count(const std::string& queue, job_outcome outcome,
             core::milliseconds time);
  void SetGauges(const std::string& queue, const work_level& level);

  metrics::registry& metrics_;
  logging::event_log& log_;
  std::set<std::string, std::less<>> labels_;
  totals totals_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_WORK_MONITOR_H_
