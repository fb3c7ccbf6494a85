#include "waxwingfront/fleet/step_advice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

#include "waxwingfront/fleet/start_backlog.h"

namespace waxwingfront::fleet {
namespace {

// Executors in one request, since each lengthens the response; the platform
// expects 30 for each step.
constexpr std::int64_t kAdvisedExecutors = 30;
// The adviser's limit.
constexpr std::int64_t kMaxAdvisedExecutors = 100;

std::int64_t Quotient(std::int64_t free, std::int64_t need) {
  return need <= 0 ? std::numeric_limits<std::int64_t>::max() : free / need;
}

// Returns how many tasks like this one fit on the executor, at most `limit`.
std::int64_t CountFitting(const executor_state& executor,
                          const task_state& task, std::int64_t limit) {
  const core::resources free = executor.Free();
  const core::resources needs = task.Needs();
  const std::int64_t most = task.Spec().max_per_executor();
  return std::min({limit, most == 0 ? limit : most,
                   Quotient(free.processor_milli, needs.processor_milli),
                   Quotient(free.memory_mib, needs.memory_mib),
                   Quotient(free.accelerators, needs.accelerators)});
}

// Returns how many executors a request names.
std::size_t RequestSize(const step_state& step, const advice_figures& figures) {
  std::int64_t size = kAdvisedExecutors;
  // The tasks of a gang need all their tickets at the same time.
  if (step.tasks.front().Spec().gang()) {
    size = std::clamp<std::int64_t>(
        2 * static_cast<std::int64_t>(step.tasks.size()), kAdvisedExecutors,
        kMaxAdvisedExecutors);
  }
  // The response must come while its tickets are valid, whether they are
  // issued at the beginning of the decision or at its end.
  const core::milliseconds left =
      figures.valid - 2 * kTicketMargin - figures.decision;
  if (left.count() > 0) {
    const std::int64_t in_time =
        Quotient(left.count(), figures.per_executor.count());
    size = std::clamp<std::int64_t>(in_time, 1, size);
  }
  return static_cast<std::size_t>(size);
}

}  // namespace

advice_request AdviceRequestFor(const fleet_state& state,
                                const task_state& waiting,
                                std::string_view service,
                                core::monotonic_time now,
                                const placement_cost& cost) {
  const step_state& step = waiting.job->StepOf(waiting);
  const queue_spec* const queue = state.QueueOf(*waiting.job);
  advice_request request{.step = {.job = waiting.job->Id(),
                                  .occurrence = waiting.occurrence,
                                  .step = waiting.step},
                         .executors = {}};
  if (queue != nullptr && queue->advised) request.figures = queue->advice;
  const auto needed =
      static_cast<std::int64_t>(waiting.Spec().gang() ? step.tasks.size() : 1);
  std::int64_t fitting = 0;
  std::vector<std::pair<double, std::string_view>> ranked;
  for (const auto& [id, executor] : state.executors) {
    if (step.permits.IsRefused(id) || !MayHost(executor, waiting, service, now))
      continue;
    const double here = cost(executor, waiting, now);
    if (std::isinf(here)) continue;
    fitting += CountFitting(executor, waiting, needed);
    if (step.permits.Ticket(id, now).empty()) ranked.emplace_back(here, id);
  }
  if (fitting < needed) return request;
  const std::size_t count =
      std::min(ranked.size(), RequestSize(step, request.figures));
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  for (std::size_t i = 0; i < count; ++i) {
    request.executors.emplace_back(ranked[i].second);
  }
  return request;
}

step_state* step_advice::FindStep(const step_ref& step) const {
  task_state* const task = state_.FindTask(
      {.job = step.job, .occurrence = step.occurrence, .step = step.step});
  return task == nullptr ? nullptr : &task->job->StepOf(*task);
}

advice_rank step_advice::RankOf(const step_ref& step,
                                core::monotonic_time now) const {
  const step_state* const found = FindStep(step);
  if (found == nullptr) return {};
  const task_state& task = found->tasks.front();
  const job_deadlines deadlines =
      ComputeDeadlines(*task.job, task.occurrence, state_.QueueOf(*task.job));
  return {.unused_calls = found->permits.UnusedCalls(),
          .priority = fleet::RankOf(state_, task, now).priority,
          .feasibility = FeasibilityOf(deadlines, now),
          .due = deadlines.due};
}

bool step_advice::Prepare(advice_request& request, moment at) {
  step_state* const step = FindStep(request.step);
  if (step == nullptr) return false;
  step->permits.Withdraw();
  const auto waiting =
      std::ranges::find(step->tasks, task_phase::kWaiting, &task_state::Phase);
  if (waiting == step->tasks.end()) return false;
  const job_state& job = *waiting->job;
  const bool may_place =
      waiting->Spec().long_running() || !state_.starts.IsFull();
  if (job.Final() || !may_place ||
      !job.StepReady(request.step.occurrence, request.step.step, at.unix_ms)) {
    return false;
  }
  request =
      AdviceRequestFor(state_, *waiting, state_.ServiceOf(job), at.now, cost_);
  if (request.executors.empty()) return false;
  step->permits.RecordRequest(request.executors, at.now);
  return true;
}

void step_advice::OnReply(const advice_request& request,
                          const std::optional<advice_reply>& reply, moment at) {
  step_state* const step = FindStep(request.step);
  if (step == nullptr) return;
  if (!reply) {
    step->permits.RecordFailure(at.now);
    return;
  }
  const bool usable = step->permits.RecordReply(*reply, at.now);
  if (!usable && on_void) on_void(request, at);
  // Permits may expire before the sweep has visited all other jobs.
  if (usable && !reply->permits.empty()) {
    state_.FindJob(request.step.job)->planned_sweep = 0;
  }
}

}  // namespace waxwingfront::fleet
