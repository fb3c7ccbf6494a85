#include "waxwingfront/fleet/work_monitor.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "waxwingfront/fleet/job_deadlines.h"
#include "waxwingfront/fleet/rejection_log.h"
#include "waxwingfront/fleet/work_load.h"

namespace waxwingfront::fleet {
namespace {

constexpr double kPercent = 100.0;
// Bounds on the queues with metrics of their own, and on those in a line.
constexpr std::size_t kMaxLabels = 64;
constexpr std::size_t kMaxLoggedQueues = 8;
constexpr std::string_view kOtherQueues = "other";

std::int64_t Rounded(double value) { return std::llround(value); }

std::int64_t PacePercent(const work_level& level) {
  return level.running == 0 ? kFullPace
                            : Rounded(kPercent * level.working /
                                      static_cast<double>(level.running));
}

// Returns the time that the job needs on its own, by the estimates.
core::milliseconds EstimatedTime(const job_state& job) {
  const job_state fresh(job.Spec(), job.Accepted(),
                        occurrence_creation::kDeferred);
  return ComputeDeadlines(fresh, 0, job.QueueAtAcceptance())
      .remaining_critical_path;
}

std::map<std::string, work_level> ByQueue(const work_sample& sample) {
  std::map<std::string, work_level> queues;
  for (const auto& [kind, level] : sample) queues[kind.queue] += level;
  return queues;
}

// Describes the queues with the most jobs.
std::string Describe(const std::map<std::string, work_level>& queues) {
  std::vector<const std::pair<const std::string, work_level>*> largest;
  largest.reserve(queues.size());
  for (const auto& entry : queues) largest.push_back(&entry);
  std::ranges::stable_sort(largest, std::greater(), [](const auto* entry) {
    return entry->second.jobs;
  });
  if (largest.size() > kMaxLoggedQueues) largest.resize(kMaxLoggedQueues);
  std::string text;
  for (const auto* const entry : largest) {
    const work_level& level = entry->second;
    if (!text.empty()) text += "; ";
    text += entry->first + " jobs=" + std::to_string(level.jobs) +
            " waiting=" + std::to_string(level.waiting) +
            " running=" + std::to_string(level.running) +
            " standing=" + std::to_string(Rounded(level.standing)) +
            " pace=" + std::to_string(PacePercent(level));
  }
  return text;
}

}  // namespace

std::string_view OutcomeName(job_outcome outcome) {
  switch (outcome) {
    case job_outcome::kOnTime:
      return "on_time";
    case job_outcome::kLate:
      return "late";
    case job_outcome::kUseless:
      return "useless";
    case job_outcome::kFailed:
      return "failed";
    case job_outcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

job_outcome OutcomeOf(const job_state& job, core::monotonic_time now) {
  if (job.State() == schema::FLEET_CANCELLED) return job_outcome::kCancelled;
  if (job.State() != schema::FLEET_COMPLETED) return job_outcome::kFailed;
  const std::uint32_t last = job.OccurrenceCount() - 1;
  const job_deadlines deadlines =
      ComputeDeadlines(job, last, job.QueueAtAcceptance());
  if (now <= deadlines.due) return job_outcome::kOnTime;
  return now <= deadlines.latest_useful_end ? job_outcome::kLate
                                            : job_outcome::kUseless;
}

std::string work_monitor::LabelOf(const std::string& queue) {
  if (labels_.contains(queue)) return queue;
  if (labels_.size() >= kMaxLabels) return std::string(kOtherQueues);
  return *labels_.insert(queue).first;
}

void work_monitor::Count(const std::string& queue, job_outcome outcome,
                         core::milliseconds time) {
  totals_.executor_time[static_cast<std::size_t>(outcome)] += time;
  metrics_
      .Counter(
          "waxwingfront_short_executor_milliseconds_total",
          {{.name = "queue", .value = LabelOf(queue)},
           {.name = "outcome", .value = std::string(OutcomeName(outcome))}})
      .Add(static_cast<std::uint64_t>(time.count()));
}

void work_monitor::RunEnded(const task_state& task, core::monotonic_time now) {
  if (!task.job->Final() || task.Spec().long_running()) return;
  Count(task.job->Spec().queue(), OutcomeOf(*task.job, now), task.RunTime(now));
}

void work_monitor::JobFinal(const job_state& job, core::monotonic_time now) {
  if (!KindOf(job.Spec())) return;
  const std::string queue = LabelOf(job.Spec().queue());
  const job_outcome outcome = OutcomeOf(job, now);
  Count(queue, outcome, job.executor_time);
  metrics_
      .Counter(
          "waxwingfront_short_jobs_ended_total",
          {{.name = "queue", .value = queue},
           {.name = "outcome", .value = std::string(OutcomeName(outcome))}})
      .Add();
  const bool completed = job.State() == schema::FLEET_COMPLETED;
  if (!completed || job.Spec().repetitions() > 0) return;
  const core::milliseconds estimated = EstimatedTime(job);
  const auto took =
      std::chrono::floor<core::milliseconds>(now - job.Accepted());
  ++totals_.completed;
  totals_.estimated += estimated;
  totals_.took += took;
  const std::vector<metrics::label> labels{{.name = "queue", .value = queue}};
  metrics_.Histogram("waxwingfront_short_job_estimated_seconds", labels)
      .Observe(std::chrono::duration<double>(estimated).count());
  metrics_.Histogram("waxwingfront_short_job_seconds", labels)
      .Observe(std::chrono::duration<double>(took).count());
}

void work_monitor::Refused(const std::string& job,
                           const work_refusal& refusal) {
  ++totals_.refused;
  metrics_
      .Counter("waxwingfront_short_jobs_refused_total",
               {{.name = "queue", .value = LabelOf(refusal.kind.queue)}})
      .Add();
  LogWorkRefused(log_, job, refusal);
}

void work_monitor::SetGauges(const std::string& queue,
                             const work_level& level) {
  const metrics::label label{.name = "queue", .value = queue};
  const auto set = [this, &label](std::string_view name, std::int64_t value) {
    metrics_.Gauge(name, {label}).Set(value);
  };
  set("waxwingfront_short_jobs", static_cast<std::int64_t>(level.jobs));
  set("waxwingfront_short_tasks_waiting",
      static_cast<std::int64_t>(level.waiting));
  set("waxwingfront_short_tasks_running",
      static_cast<std::int64_t>(level.running));
  set("waxwingfront_short_tasks_standing", Rounded(level.standing));
  set("waxwingfront_short_pace_percent", PacePercent(level));
}

void work_monitor::Report(const work_sample& sample) {
  const std::map<std::string, work_level> queues = ByQueue(sample);
  // Queues whose work has ended show zero.
  std::map<std::string, work_level> labelled;
  for (const std::string& label : labels_) labelled[label] = {};
  for (const auto& [queue, level] : queues) labelled[LabelOf(queue)] += level;
  for (const auto& [label, level] : labelled) SetGauges(label, level);
  const totals ended = std::exchange(totals_, {});
  if (sample.empty() && ended == totals{}) return;
  work_level all;
  for (const auto& [queue, level] : queues) all += level;
  const auto number = [](auto value) {
    return static_cast<std::int64_t>(value);
  };
  const auto time = [&ended](job_outcome outcome) {
    return std::int64_t{
        ended.executor_time[static_cast<std::size_t>(outcome)].count()};
  };
  const std::int64_t completed = std::max<std::int64_t>(1, ended.completed);
  const std::string described = Describe(queues);
  log_.Write("work", {{"jobs", number(all.jobs)},
                      {"waiting", number(all.waiting)},
                      {"running", number(all.running)},
                      {"standing", Rounded(all.standing)},
                      {"pace_percent", PacePercent(all)},
                      {"refused", ended.refused},
                      {"completed", ended.completed},
                      {"estimated_ms", ended.estimated.count() / completed},
                      {"took_ms", ended.took.count() / completed},
                      {"on_time_ms", time(job_outcome::kOnTime)},
                      {"late_ms", time(job_outcome::kLate)},
                      {"useless_ms", time(job_outcome::kUseless)},
                      {"failed_ms", time(job_outcome::kFailed)},
                      {"cancelled_ms", time(job_outcome::kCancelled)},
                      {"queues", described}});
}

}  // namespace waxwingfront::fleet
