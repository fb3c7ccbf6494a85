#include "waxwingfront/fleet/work_load.h"

#include <algorithm>
#include <cstdint>

#include "waxwingfront/fleet/job_deadlines.h"

namespace waxwingfront::fleet {
namespace {

// Time for which a ready task is expected to wait for its placement.
constexpr core::milliseconds kMinWait{250};

// True if any executor with room may run tasks of the step.
bool IsUnrestricted(const schema::fleet_step& step) {
  return step.required_label().empty() && step.data_rack().empty() &&
         step.max_per_executor() == 0 && !step.gang();
}

// True if no executor has had room for the task. One that waits for the
// leader's link, or for a round of planning, has had no search.
bool WaitsForRoom(const step_state& step, const task_state& task,
                  core::monotonic_time now) {
  return step.last_failed_search.round != 0 && IsUnrestricted(task.Spec()) &&
         now - std::max(task.waiting_since, *step.ready_since) >= kMinWait;
}

void AddStep(const step_state& step, bool useful, core::monotonic_time now,
             work_level& level) {
  for (const task_state& task : step.tasks) {
    if (task.Phase() == task_phase::kRunning) {
      const int percent =
          task.pace_percent == kUnknownPace ? kFullPace : task.pace_percent;
      const double pace = static_cast<double>(percent) / kFullPace;
      ++level.running;
      level.working += pace;
      if (useful) level.standing += 1.0 - pace;
    } else if (task.Phase() == task_phase::kOrphaned) {
      // A new leader does not know yet how it runs.
      ++level.running;
      level.working += 1.0;
    } else if (task.Phase() == task_phase::kWaiting && step.ready_since) {
      ++level.waiting;
      if (useful && WaitsForRoom(step, task, now)) level.standing += 1.0;
    }
  }
}

bool IsBestEffort(const schema::fleet_job& job) {
  return std::ranges::all_of(job.steps(), &schema::fleet_step::fills);
}

}  // namespace

std::optional<work_kind> KindOf(const schema::fleet_job& job) {
  const bool any_long_running =
      std::ranges::any_of(job.steps(), &schema::fleet_step::long_running);
  if (any_long_running || job.steps().empty()) return std::nullopt;
  return work_kind{.queue = job.queue(), .image = job.steps(0).image()};
}

work_sample SampleWork(const fleet_state& state, work_scope scope,
                       core::monotonic_time now) {
  work_sample sample;
  for (const job_state* const job : state.live) {
    if (job->Final()) continue;
    if (scope == work_scope::kBestEffort && !IsBestEffort(job->Spec())) {
      continue;
    }
    const auto kind = KindOf(job->Spec());
    if (!kind) continue;
    work_level& level = sample[*kind];
    ++level.jobs;
    const queue_spec* const queue = state.QueueOf(*job);
    for (const auto& [k, occurrence] : job->Occurrences()) {
      if (job->DueStart(k) > now) break;
      const bool useful =
          FeasibilityOf(ComputeDeadlines(*job, k, queue), now) !=
          deadline_feasibility::kInfeasible;
      for (const step_state& step : occurrence.steps) {
        if (!step.Done()) AddStep(step, useful, now, level);
      }
    }
  }
  return sample;
}

void CountDone(work_admission& admission, const task_state& task,
               core::monotonic_time now) {
  const auto kind = KindOf(task.job->Spec());
  if (!kind) return;
  admission.OnDone(*kind, core::milliseconds(task.Spec().estimated_ms()), now);
}

std::optional<work_refusal> AdmitWork(work_admission& admission,
                                      const fleet_state& state,
                                      const schema::fleet_job& job, moment at) {
  auto kind = KindOf(job);
  if (!kind || !IsBestEffort(job) || job.repetitions() > 0) return std::nullopt;
  if (admission.NeedsSample(at.now)) {
    admission.SetSample(SampleWork(state, work_scope::kBestEffort, at.now),
                        at.now);
  }
  work_request request{.kind = *std::move(kind)};
  for (const schema::fleet_step& step : job.steps()) {
    if (step.after().empty()) request.first_tasks += step.task_count();
    request.work += core::milliseconds(step.estimated_ms()) * step.task_count();
  }
  return admission.Admit(request, at.now);
}

}  // namespace waxwingfront::fleet
