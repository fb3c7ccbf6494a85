#include "waxwingfront/fleet/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "waxwingfront/fleet/reserved_placement.h"
#include "waxwingfront/fleet/step_advice.h"

namespace waxwingfront::fleet {
namespace {

// A sweep that takes longer is one that new jobs keep extending. Every second
// round then goes to the jobs that were visited longest ago.
constexpr core::milliseconds kLongSweep{1000};
// Visits that compare no executors take about as long as ranking a job, so that
// a round that is out of time may make this many.
constexpr std::uint64_t kMaxIdleVisits = 20;
// Of this many incomplete rounds one begins with a useless job.
constexpr std::uint64_t kRoundsPerUselessTurn = 4;
// Maximum number of interrupted tasks that a round places on reserved capacity,
// so that tasks which keep failing leave time for other jobs.
constexpr int kMaxReservedPlacements = 50;

}  // namespace

void planner::BeginRound(core::monotonic_time now) {
  ++round_;
  visits_ = 0;
  idle_visits_ = 0;
  changed_.clear();
  ComparePeers(state_, now);
  most_free_ = MostFreeOfServices(state_, now);
  for (auto& [id, executor] : state_.executors) {
    if (executor.BeginRound(round_, now)) changed_.push_back(&executor);
  }
}

bool planner::Plan(std::span<const interrupted_task> interrupted, moment at,
                   const std::function<bool()>& should_stop) {
  BeginRound(at.now);
  PlaceReserved(interrupted, at);
  std::erase_if(state_.live, [](const job_state* job) {
    return job->Final() && !job->AnyActive();
  });
  if (!sweep_began_) sweep_began_ = at.now;
  const bool resumes = incomplete_rounds_ > 0;
  if (!resumes) useless_pass_ = round_;
  QueueWaitingJobs(state_, sweep_, round_, resumes, at, queue_);
  examined_jobs_ += queue_.Size();
  const bool all = PlanQueue(at, should_stop);
  // Jobs may be freed before the next round.
  queue_.Clear();
  incomplete_rounds_ = all ? 0 : incomplete_rounds_ + 1;
  return all;
}

void planner::PlaceReserved(std::span<const interrupted_task> interrupted,
                            moment at) {
  const processor_scope visits(processor, processor_stage::kVisits);
  int placed = 0;
  ForEachReserved(
      state_, interrupted, at, [&](task_state& task, executor_state& executor) {
        const placement_scope scope{.service = state_.ServiceOf(*task.job),
                                    .advised = false,
                                    .most_free = {}};
        if (std::isinf(CostAt(executor, task, scope, at.now))) {
          return reserved_outcome::kNotPlaced;
        }
        BeginWait(task.job->StepOf(task), at.now);
        Place(task, executor, task.run + 1, at);
        return ++placed < kMaxReservedPlacements ? reserved_outcome::kPlaced
                                                 : reserved_outcome::kStop;
      });
}

bool planner::PlanQueue(moment at, const std::function<bool()>& should_stop) {
  const processor_scope visits(processor, processor_stage::kVisits);
  // Rounds after one that was not completed begin with other kinds of jobs, so
  // that no kind starves another.
  const bool overdue_first = incomplete_rounds_ % 2 == 0;
  const bool useless_first =
      (incomplete_rounds_ + 1) % kRoundsPerUselessTurn == 0;
  const bool long_sweep = at.now - *sweep_began_ >= kLongSweep;
  if (overdue_first) {
    if (!PlanOverdue(queue_.overdue, at, should_stop)) return false;
  } else if (useless_first && !queue_.useless.empty()) {
    // Only one, since the others come first where capacity is short.
    PlanJob(*queue_.useless.front().job, at);
    if (MustStop(should_stop)) return false;
  } else if (long_sweep) {
    SortByLastVisit(queue_.others);
  }
  if (!PlanSweep(queue_.others, at, should_stop)) return false;
  if (!overdue_first && !PlanOverdue(queue_.overdue, at, should_stop)) {
    return false;
  }
  return PlanUseless(queue_.useless, at, should_stop);
}

bool planner::PlanOverdue(std::span<const ranked_job> jobs, moment at,
                          const std::function<bool()>& should_stop) {
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    PlanJob(*jobs[i].job, at);
    if (i + 1 < jobs.size() && MustStop(should_stop)) return false;
  }
  return true;
}

bool planner::PlanSweep(std::span<const ranked_job> queue, moment at,
                        const std::function<bool()>& should_stop) {
  for (std::size_t i = 0; i < queue.size(); ++i) {
    if (queue[i].only_short_tasks && state_.starts.IsFull()) continue;
    PlanJob(*queue[i].job, at);
    queue[i].job->planned_sweep = sweep_;
    if (i + 1 == queue.size() || !MustStop(should_stop)) continue;
    const auto rest = queue.subspan(i + 1);
    if (!std::ranges::all_of(rest, &ranked_job::visited)) return false;
    break;
  }
  ++sweep_;
  sweep_began_.reset();
  return true;
}

bool planner::PlanUseless(std::span<const ranked_job> jobs, moment at,
                          const std::function<bool()>& should_stop) {
  for (const ranked_job& one : jobs) {
    if (state_.starts.IsFull()) return true;
    if (one.job->planned_round >= useless_pass_) continue;
    if (MustStop(should_stop)) return false;
    PlanJob(*one.job, at);
  }
  return true;
}

bool planner::MustStop(const std::function<bool()>& should_stop) const {
  // Each round visits at least one job for which it has to compare executors,
  // so that all are visited eventually however slow planning is.
  const bool compared_any = visits_ > idle_visits_;
  return (compared_any || idle_visits_ >= kMaxIdleVisits) && should_stop &&
         should_stop();
}

void planner::PlanJob(job_state& job, moment at) {
  job.planned_round = round_;
  compared_ = false;
  const std::string_view service = state_.ServiceOf(job);
  const placement_scope scope{.service = service,
                              .advised = state_.IsAdvised(job),
                              .most_free = most_free_[service]};
  for (auto& [k, occurrence] : job.Occurrences()) {
    std::vector<step_state>& steps = occurrence.steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      if (steps[s].Done() || !job.StepReady(k, s, at.unix_ms)) continue;
      PlanStep(steps[s], scope, at);
    }
  }
  ++visits_;
  if (!compared_) ++idle_visits_;
}

void planner::PlanStep(step_state& step, const placement_scope& scope,
                       moment at) {
  BeginWait(step, at.now);
  if (step.tasks.front().Spec().gang()) {
    PlanGang(step, scope, at);
  } else {
    PlanTasks(step, scope, at);
  }
}

void planner::BeginWait(step_state& step, core::monotonic_time now) {
  if (step.ready_since) return;
  step.ready_since = now;
  for (task_state& task : step.tasks) {
    // After a takeover, tasks that ran before have waited since their runs.
    if (!task.IsInterrupted()) task.waiting_since = now;
  }
}

void planner::PlanTasks(step_state& step, const placement_scope& scope,
                        moment at) {
  bool same_cost = false;
  const executor_state* selected = nullptr;
  for (task_state& task : step.tasks) {
    if (task.Phase() != task_phase::kWaiting) continue;
    if (!MayPlace(task)) {
      // More candidates may be left.
      if (selected != nullptr) step.last_failed_search = {};
      return;
    }
    if (same_cost) {
      candidates_.UpdateSelected(CostAt(*selected, task, scope, at.now));
      // For those, each task has to have waited for itself.
      same_cost = !candidates_.AreLastResort();
      if (!same_cost) step.last_failed_search = {};
    }
    if (!same_cost) FindCandidates(step, task, scope, at);
    executor_state* const executor = candidates_.SelectCheapest(task);
    if (executor == nullptr) {
      step.last_failed_search.rejected_by_cost =
          step.last_failed_search.rejected_by_cost || too_costly_;
      ReportWait(step, task, scope, at);
      // Tasks that have run before get capacity from `capacity_reserve`.
      if (task.Spec().long_running() && task.run == 0 &&
          WaitsLong(task, at.now)) {
        compared_ = true;
        ReserveCapacity(state_, task, scope.service, at.now);
      }
      RequestAdvice(step, task, scope, at);
      return;
    }
    if (selected == nullptr) same_cost = HaveSameCost(step);
    Place(task, *executor, task.run + 1, at);
    selected = executor;
    if (!same_cost) step.last_failed_search = {};
  }
  // All tasks are placed, and more candidates may be left.
  step.last_failed_search = {};
}

void planner::FindCandidates(step_state& step, const task_state& first,
                             const placement_scope& scope, moment at) {
  candidates_.Clear();
  too_costly_ = false;
  failed_search& search = step.last_failed_search;
  if (!scope.most_free.Holds(first.Needs())) {
    search = {.round = round_, .manifest = state_.current_manifest.version};
    return;
  }
  if (scope.advised) {
    compared_ = true;
    for (auto& [id, executor] : state_.executors) {
      if (!step.permits.Ticket(id, at.now).empty()) {
        AddIfFeasible(executor, first, scope, at);
      }
    }
    return;
  }
  const std::optional<std::uint64_t> epoch = epoch_(first, at.now);
  const bool costs_unchanged =
      !search.rejected_by_cost || (epoch && search.epoch == epoch);
  const bool search_valid = search.round > 0 && costs_unchanged &&
                            search.manifest == state_.current_manifest.version;
  if (search_valid && search.round + 1 == round_) {
    for (executor_state* const one : changed_)
      AddIfFeasible(*one, first, scope, at);
  } else {
    compared_ = true;
    for (auto& [id, executor] : state_.executors) {
      if (!search_valid || executor.changed_round > search.round) {
        AddIfFeasible(executor, first, scope, at);
      }
    }
  }
  // Valid once the candidates found are used up.
  search = {.round = round_,
            .manifest = state_.current_manifest.version,
            .rejected_by_cost =
                too_costly_ || (search_valid && search.rejected_by_cost),
            .epoch = epoch};
}

void planner::AddIfFeasible(executor_state& executor, const task_state& task,
                            const placement_scope& scope, moment at) {
  const double cost = CostAt(executor, task, scope, at.now);
  if (!std::isinf(cost)) candidates_.Add(executor, cost);
}

double planner::CostAt(const executor_state& executor, const task_state& task,
                       const placement_scope& scope, core::monotonic_time now) {
  ++evaluations_;
  compared_ = true;
  if (!MayHost(executor, task, scope.service, now)) {
    return std::numeric_limits<double>::infinity();
  }
  const double cost = cost_(executor, task, now);
  too_costly_ = too_costly_ || std::isinf(cost);
  return cost + HealthCost(executor, task, now);
}

void planner::PlanGang(step_state& step, const placement_scope& scope,
                       moment at) {
  const auto waits = [](const task_state& task) {
    return task.Phase() == task_phase::kWaiting;
  };
  const task_state& first = step.tasks.front();
  if (!std::ranges::all_of(step.tasks, waits) || !MayPlace(first)) return;
  if (!scope.most_free.Holds(first.Needs())) return;
  compared_ = true;
  const bool one_rack = first.Spec().same_rack();
  if (one_rack) {
    std::set<std::string_view> racks;
    for (const auto& [id, executor] : state_.executors) {
      racks.insert(executor.info.rack);
    }
    for (const std::string_view rack : racks) {
      if (PlaceGang(step, scope, rack, at)) return;
    }
  }
  const bool may_spread = !one_rack || distance_.WaitIsOver(first, at.now);
  if (may_spread && PlaceGang(step, scope, {}, at)) return;
  RequestAdvice(step, first, scope, at);
}

bool planner::PlaceGang(step_state& step, const placement_scope& scope,
                        std::string_view rack, moment at) {
  std::vector<executor_state*> chosen;
  for (task_state& task : step.tasks) {
    executor_state* const executor = ChooseForGang(task, scope, rack, at);
    if (executor == nullptr) break;
    // Added immediately, so that the next task sees the remaining capacity.
    executor->Add(task);
    chosen.push_back(executor);
  }
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    chosen[i]->Remove(step.tasks[i]);
  }
  if (chosen.size() < step.tasks.size()) return false;
  std::uint32_t run = 0;
  for (const task_state& task : step.tasks) run = std::max(run, task.run);
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    Place(step.tasks[i], *chosen[i], run + 1, at);
  }
  return true;
}

executor_state* planner::ChooseForGang(const task_state& task,
                                       const placement_scope& scope,
                                       std::string_view rack, moment at) {
  const step_permits& permits = task.job->StepOf(task).permits;
  constexpr double kInfiniteCost = std::numeric_limits<double>::infinity();
  return ChooseExecutor(
      state_, task, scope.service, at.now,
      [&](const executor_state& executor, const task_state& what,
          core::monotonic_time now) {
        ++evaluations_;
        if (!rack.empty() && executor.info.rack != rack) return kInfiniteCost;
        if (scope.advised && permits.Ticket(executor.info.id, now).empty()) {
          return kInfiniteCost;
        }
        return cost_(executor, what, now);
      });
}

void planner::Place(task_state& task, executor_state& executor,
                    std::uint32_t run, moment at) {
  job_state& job = *task.job;
  if (job.State() == schema::FLEET_QUEUED) {
    job.SetState(schema::FLEET_RUNNING, at.unix_ms);
  }
  state_.MarkChanged(job, task.IsInterrupted() ? store_urgency::kRestart
                                               : store_urgency::kStart);
  task.SetPhase(task_phase::kPlaced);
  if (!job.milestones.placed) job.milestones.placed = at.now;
  task.placed_version = job.version;
  task.placed_at = at.now;
  task.run = run;
  task.executor = executor.info.id;
  task.executor_born_ms = executor.info.born_ms;
  task.listed = false;
  executor.UseReservation(task);
  executor.Add(task);
  state_.starts.OnPlaced(task);
  job.StepOf(task).permits.RecordPlacement();
  if (on_placed) on_placed(task, at);
}

void planner::ReportWait(step_state& step, const task_state& waiting,
                         const placement_scope& scope, moment at) {
  if (!on_waiting || !WaitsLong(waiting, at.now) ||
      at.now - step.wait_logged < kLongWait) {
    return;
  }
  step.wait_logged = at.now;
  compared_ = true;
  on_waiting(waiting,
             CountRejections(state_, waiting, scope.service, at.now, cost_),
             at);
}

void planner::RequestAdvice(step_state& step, const task_state& waiting,
                            const placement_scope& scope, moment at) {
  if (!scope.advised || !step.permits.MayRequest(at.now)) return;
  if (!scope.most_free.Holds(waiting.Needs())) return;
  compared_ = true;
  advice_request request =
      AdviceRequestFor(state_, waiting, scope.service, at.now, cost_);
  if (request.executors.empty()) return;
  step.permits.RecordRequest(request.executors, at.now);
  state_.outgoing.advice.push_back(std::move(request));
}

}  // namespace waxwingfront::fleet
