#include "waxwingfront/fleet/start_backlog.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "waxwingfront/fleet/job_deadlines.h"

namespace waxwingfront::fleet {
namespace {

int PriorityOf(const queue_spec* queue) {
  return queue == nullptr ? std::numeric_limits<int>::max() : queue->priority;
}

// True if no executor had room for any task when the step was last planned.
bool WaitsForRoom(const step_state& step) {
  return step.last_failed_search.round != 0 &&
         std::ranges::none_of(step.tasks, &task_state::Active);
}

std::size_t PendingBytes(const step_state& step) {
  std::size_t bytes = 0;
  for (const task_state& task : step.tasks) {
    const bool unsent =
        task.Phase() == task_phase::kWaiting || task.start_backlog_bytes > 0;
    if (unsent) bytes += StartBytesOf(task);
  }
  return bytes;
}

// Returns for each step the time from its start until the job's end, by the
// estimates.
std::vector<core::milliseconds> TimesToEnd(
    const schema::fleet_job& job, const std::vector<step_state>& steps) {
  std::vector<core::milliseconds> until_end(steps.size());
  for (std::size_t s = steps.size(); s-- > 0;) {
    const schema::fleet_step& spec = job.steps(static_cast<int>(s));
    until_end[s] += core::milliseconds(spec.estimated_ms());
    for (const std::uint32_t before : spec.after()) {
      until_end[before] = std::max(until_end[before], until_end[s]);
    }
  }
  return until_end;
}

void AddPending(const job_state& job, std::uint32_t occurrence,
                const std::vector<step_state>& steps, const queue_spec* queue,
                moment at, std::vector<pending_starts>& pending) {
  const job_deadlines deadlines = ComputeDeadlines(job, occurrence, queue);
  if (FeasibilityOf(deadlines, at.now) == deadline_feasibility::kInfeasible) {
    return;
  }
  const std::vector<core::milliseconds> until_end =
      TimesToEnd(job.Spec(), steps);
  std::vector<core::monotonic_time> done(steps.size(), at.now);
  for (std::size_t s = 0; s < steps.size(); ++s) {
    if (steps[s].Done()) continue;
    const schema::fleet_step& spec = job.Spec().steps(static_cast<int>(s));
    core::monotonic_time earliest = at.now;
    for (const std::uint32_t before : spec.after()) {
      earliest = std::max(earliest, done[before]);
    }
    done[s] = earliest + core::milliseconds(spec.estimated_ms());
    if (spec.long_running() || WaitsForRoom(steps[s])) continue;
    const std::size_t bytes = PendingBytes(steps[s]);
    if (bytes == 0) continue;
    pending.push_back(
        {.priority = PriorityOf(queue),
         .due = deadlines.due,
         .latest_timely = deadlines.due - until_end[s],
         .latest_useful = deadlines.latest_useful_end - until_end[s],
         .earliest = earliest,
         .bytes = bytes});
  }
}

}  // namespace

std::vector<pending_starts> StartBacklog(const fleet_state& state, moment at) {
  std::vector<pending_starts> pending;
  for (const job_state* const job : state.live) {
    if (job->Final()) continue;
    const queue_spec* const queue = state.QueueOf(*job);
    for (const auto& [k, occurrence] : job->Occurrences()) {
      if (job->DueStart(k) > at.now) break;
      AddPending(*job, k, occurrence.steps, queue, at, pending);
    }
  }
  return pending;
}

start_rank RankOf(const fleet_state& state, const task_state& task,
                  core::monotonic_time now) {
  const queue_spec* const queue = state.QueueOf(*task.job);
  const job_deadlines deadlines =
      ComputeDeadlines(*task.job, task.occurrence, queue);
  return {
      .priority = PriorityOf(queue),
      .late = FeasibilityOf(deadlines, now) != deadline_feasibility::kOnTime};
}

std::optional<pending_starts> FirstStarts(const schema::fleet_job& job,
                                          const queue_spec& queue, moment at) {
  const bool any_long_running =
      std::ranges::any_of(job.steps(), &schema::fleet_step::long_running);
  if (any_long_running || job.repetitions() > 0) return std::nullopt;
  const job_state state(job, at.now);
  const job_deadlines deadlines = ComputeDeadlines(state, 0, &queue);
  pending_starts first{
      .priority = queue.priority,
      .due = deadlines.due,
      .latest_timely = deadlines.due - deadlines.remaining_critical_path,
      .latest_useful =
          deadlines.latest_useful_end - deadlines.remaining_critical_path,
      .earliest = at.now};
  const std::vector<step_state>& steps =
      state.Occurrences().begin()->second.steps;
  for (std::size_t s = 0; s < steps.size(); ++s) {
    if (!job.steps(static_cast<int>(s)).after().empty()) continue;
    first.bytes += PendingBytes(steps[s]);
  }
  return first;
}

std::optional<start_refusal> AdmitStarts(start_admission& admission,
                                         const fleet_state& state,
                                         const schema::fleet_job& job,
                                         moment at) {
  if (!admission.IsCongested(at.now)) return std::nullopt;
  const queue_spec* const queue = state.FindQueue(job.queue());
  if (queue == nullptr) return std::nullopt;
  const auto starts = FirstStarts(job, *queue, at);
  if (!starts) return std::nullopt;
  if (admission.NeedsSample(at.now)) {
    admission.SetBacklog(StartBacklog(state, at), at.now);
  }
  return admission.Admit(*starts, at.now);
}

}  // namespace waxwingfront::fleet
