#include "waxwingfront/fleet/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwingfront::fleet {
namespace {

// A task that has found no room for this long is reported, and again after as
// long; a lasting one goes first then and gets room kept: the platform takes it
// for lost 9 s after its last run.
constexpr core::milliseconds kLongWait{2000};
// Executors in one question to the adviser: each lengthens its answer. The
// platform reckons with 30 a step.
constexpr std::size_t kAdvisedAtOnce = 30;

bool HasWaiting(const job_state& job) {
  for (const occurrence_state& occurrence : job.Occurrences()) {
    for (const step_state& step : occurrence.steps) {
      for (const task_state& task : step.tasks) {
        if (task.phase == task_phase::kWaiting) return true;
      }
    }
  }
  return false;
}

bool WaitsLong(const task_state& task, core::monotonic_time now) {
  return task.phase == task_phase::kWaiting &&
         now - task.waiting_since >= kLongWait;
}

// Whether a task of the job's first step, whose turn has come, waits long.
bool AnyWaitsLong(const job_state& job, core::monotonic_time now) {
  const step_state& step = job.Occurrences().front().steps.front();
  return step.ready_since &&
         std::ranges::any_of(step.tasks, [now](const task_state& task) {
           return WaitsLong(task, now);
         });
}

// The earliest occurrence with work left; the last one if none has.
std::uint32_t FirstUndone(const job_state& job) {
  const std::vector<occurrence_state>& all = job.Occurrences();
  for (std::uint32_t k = 0; k + 1 < all.size(); ++k) {
    if (!std::ranges::all_of(all[k].steps, &step_state::Done)) return k;
  }
  return static_cast<std::uint32_t>(all.size()) - 1;
}

}  // namespace

void planner::BeginRound(core::monotonic_time now) {
  ++round_;
  changed_.clear();
  for (auto& [id, executor] : state_.executors) {
    if (executor.BeginRound(round_, now)) changed_.push_back(&executor);
  }
}

bool planner::Plan(moment at, const std::function<bool()>& enough) {
  BeginRound(at.now);
  std::erase_if(state_.live, [](const job_state* job) {
    return job->Final() && !job->AnyActive();
  });
  std::vector<ranked_job> queue;
  queue.reserve(state_.live.size());
  for (job_state* const job : state_.live) {
    if (!job->Final() && HasWaiting(*job)) queue.push_back(Rank(*job, at.now));
  }
  std::stable_sort(queue.begin(), queue.end());
  for (std::size_t i = 0; i < queue.size(); ++i) {
    PlanJob(*queue[i].job, at);
    queue[i].job->planned_sweep = sweep_;
    // At least one job a round, so that all have their turn however slow this
    // is.
    if (i + 1 == queue.size() || !enough || !enough()) continue;
    if (!queue[i + 1].reached) return false;
    break;
  }
  ++sweep_;
  return true;
}

planner::ranked_job planner::Rank(job_state& job,
                                  core::monotonic_time now) const {
  const queue_spec* const spec = state_.FindQueue(job.Spec().queue());
  const job_outlook outlook = Outlook(job, FirstUndone(job), spec);
  const schema::fleet_step& first = job.Spec().steps(0);
  const bool lasts = first.long_running();
  return {.reached = job.planned_sweep == sweep_,
          .priority = spec == nullptr ? std::numeric_limits<int>::max()
                                      : spec->priority,
          .in_turn = !lasts || !AnyWaitsLong(job, now),
          .lasting_image = lasts ? std::string_view(first.image()) : "",
          .gathers = lasts && first.max_per_executor() == 0,
          .lasting_cpu = lasts ? first.cpu_millis() : 0,
          .hope = HopeOf(outlook, now),
          .due = outlook.due,
          .job = &job};
}

void planner::PlanJob(job_state& job, moment at) {
  const job_site site{.service = state_.ServiceOf(job),
                      .advised = state_.IsAdvised(job)};
  std::vector<occurrence_state>& occurrences = job.Occurrences();
  for (std::uint32_t k = 0; k < occurrences.size(); ++k) {
    std::vector<step_state>& steps = occurrences[k].steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      if (steps[s].Done() || !job.StepReady(k, s, at.unix_ms)) continue;
      PlanStep(job, steps[s], site, at);
    }
  }
}

void planner::PlanStep(job_state& job, step_state& step, const job_site& site,
                       moment at) {
  if (!step.ready_since) {
    step.ready_since = at.now;
    for (task_state& task : step.tasks) task.waiting_since = at.now;
  }
  const std::uint64_t before = job.version;
  if (step.tasks.front().Spec().gang()) {
    PlanGang(step, site, at);
  } else {
    PlanTasks(step, site, at);
  }
  if (job.version == before) return;
  if (job.State() == schema::FLEET_QUEUED) {
    job.SetState(schema::FLEET_RUNNING, at.unix_ms);
  }
}

void planner::PlanTasks(step_state& step, const job_site& site, moment at) {
  // Costs of lasting tasks depend on all executors, and those of tasks with
  // data on how long each has waited.
  const schema::fleet_step& spec = step.tasks.front().Spec();
  const bool alike = !spec.long_running() && spec.data_rack().empty();
  const executor_state* taken = nullptr;
  for (task_state& task : step.tasks) {
    if (task.phase != task_phase::kWaiting) continue;
    if (taken == nullptr || !alike) {
      Survey(step, task, site, at);
    } else {
      places_.Renew(CostAt(*taken, task, site, at.now));
    }
    executor_state* const executor = places_.Take(task);
    if (executor == nullptr) {
      step.refusal.by_cost = step.refusal.by_cost || too_costly_;
      ReportWait(step, task, site, at);
      if (task.Spec().long_running() && WaitsLong(task, at.now)) {
        KeepRoom(state_, task, site.service, at.now);
      }
      AskAdvice(step, task, site, at);
      return;
    }
    Place(task, *executor, task.run + 1, at);
    taken = executor;
    if (!alike) step.refusal = {};
  }
  // All have places, and there may be more.
  step.refusal = {};
}

void planner::Survey(step_state& step, const task_state& first,
                     const job_site& site, moment at) {
  places_.Clear();
  too_costly_ = false;
  if (site.advised) {
    for (auto& [id, executor] : state_.executors) {
      if (!step.permits.Ticket(id, at.now).empty()) {
        Look(executor, first, site, at);
      }
    }
    return;
  }
  step_refusal& refusal = step.refusal;
  const std::optional<std::uint64_t> epoch = epoch_(first, at.now);
  const bool same_costs = !refusal.by_cost || (epoch && refusal.epoch == epoch);
  const bool known = refusal.round > 0 && same_costs &&
                     refusal.manifest == state_.current_manifest.version;
  if (known && refusal.round + 1 == round_) {
    for (executor_state* const one : changed_) Look(*one, first, site, at);
  } else {
    for (auto& [id, executor] : state_.executors) {
      if (!known || executor.changed_round > refusal.round) {
        Look(executor, first, site, at);
      }
    }
  }
  // Holds once the places found are used up.
  refusal = {.round = round_,
             .manifest = state_.current_manifest.version,
             .by_cost = too_costly_ || (known && refusal.by_cost),
             .epoch = epoch};
}

void planner::Look(executor_state& executor, const task_state& task,
                   const job_site& site, moment at) {
  const double cost = CostAt(executor, task, site, at.now);
  if (!std::isinf(cost)) places_.Add(executor, cost);
}

double planner::CostAt(const executor_state& executor, const task_state& task,
                       const job_site& site, core::monotonic_time now) {
  ++looks_;
  if (!MayHost(executor, task, site.service, now)) {
    return std::numeric_limits<double>::infinity();
  }
  const double cost = cost_(executor, task, now);
  too_costly_ = too_costly_ || std::isinf(cost);
  return cost;
}

void planner::PlanGang(step_state& step, const job_site& site, moment at) {
  const auto waits = [](const task_state& task) {
    return task.phase == task_phase::kWaiting;
  };
  if (!std::ranges::all_of(step.tasks, waits)) return;
  const task_state& first = step.tasks.front();
  const bool one_rack = first.Spec().same_rack();
  if (one_rack) {
    std::set<std::string_view> racks;
    for (const auto& [id, executor] : state_.executors) {
      racks.insert(executor.info.rack);
    }
    for (const std::string_view rack : racks) {
      if (PlaceGang(step, site, rack, at)) return;
    }
  }
  const bool may_spread = !one_rack || at.now - first.waiting_since >=
                                           distance_.Patience(first.Spec());
  if (may_spread && PlaceGang(step, site, {}, at)) return;
  AskAdvice(step, first, site, at);
}

bool planner::PlaceGang(step_state& step, const job_site& site,
                        std::string_view rack, moment at) {
  std::vector<executor_state*> chosen;
  for (task_state& task : step.tasks) {
    executor_state* const executor = Choose(task, site, rack, at);
    if (executor == nullptr) break;
    // Counted at once, so that the next task sees the room that is left.
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

executor_state* planner::Choose(const task_state& task, const job_site& site,
                                std::string_view rack, moment at) {
  const step_permits& permits = task.job->StepOf(task).permits;
  constexpr double kNever = std::numeric_limits<double>::infinity();
  return ChooseExecutor(
      state_, task, site.service, at.now,
      [&](const executor_state& executor, const task_state& what,
          core::monotonic_time now) {
        ++looks_;
        if (!rack.empty() && executor.info.rack != rack) return kNever;
        if (site.advised && permits.Ticket(executor.info.id, now).empty()) {
          return kNever;
        }
        return cost_(executor, what, now);
      });
}

void planner::Place(task_state& task, executor_state& executor,
                    std::uint32_t run, moment at) {
  job_state& job = *task.job;
  state_.MarkChanged(job, store_urgency::kStart);
  task.phase = task_phase::kPlaced;
  if (!job.milestones.placed) job.milestones.placed = at.now;
  task.placed_version = job.version;
  task.run = run;
  task.executor = executor.info.id;
  task.executor_born_ms = executor.info.born_ms;
  task.listed = false;
  executor.Add(task);
  if (on_placed) on_placed(task, at);
}

void planner::ReportWait(step_state& step, const task_state& waiting,
                         const job_site& site, moment at) {
  if (!on_waiting || !WaitsLong(waiting, at.now) ||
      at.now - step.wait_logged < kLongWait) {
    return;
  }
  step.wait_logged = at.now;
  on_waiting(waiting,
             CountRefusals(state_, waiting, site.service, at.now, cost_), at);
}

void planner::AskAdvice(step_state& step, const task_state& waiting,
                        const job_site& site, moment at) {
  if (!site.advised || !step.permits.MayAsk(at.now)) return;
  std::vector<std::pair<double, std::string>> ranked;
  for (const auto& [id, executor] : state_.executors) {
    if (executor.info.service != site.service || !executor.Usable(at.now) ||
        step.permits.Refused(id) || !Fits(executor, waiting) ||
        !step.permits.Ticket(id, at.now).empty()) {
      continue;
    }
    const double cost = cost_(executor, waiting, at.now);
    if (!std::isinf(cost)) ranked.emplace_back(cost, id);
  }
  if (ranked.empty()) return;
  const std::size_t count = std::min(ranked.size(), kAdvisedAtOnce);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<std::string> executors;
  for (std::size_t i = 0; i < count; ++i) {
    executors.push_back(std::move(ranked[i].second));
  }
  state_.outgoing.advice.push_back({.step = {.job = waiting.job->Id(),
                                             .occurrence = waiting.occurrence,
                                             .step = waiting.step},
                                    .executors = executors});
  step.permits.Ask(std::move(executors), at.now);
}

}  // namespace waxwingfront::fleet
