#include "waxwingfront/fleet/capacity_reserve.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>

namespace waxwingfront::fleet {
namespace {

// Renewals for more interrupted tasks than this are less frequent in
// proportion.
constexpr std::size_t kTasksPerPeriod = 50;
// Delay of a task that weighs as much as one unit of placement cost.
constexpr double kMillisPerCost = 1000.0;
// Advantage of an executor that already keeps capacity for the task: if the
// reservation moved, short tasks would take what has become free there.
constexpr double kKeepAdvantageMs = 500.0;
// Shortest expected rest of a run, as a share of its time so far, since
// estimates are often too low.
constexpr double kMinRemainingShare = 0.25;
// A task that has stood still for this long comes before larger ones.
constexpr core::milliseconds kLongStandstill{5000};
// Paces below this percentage are expected to rise.
constexpr int kMinExpectedPace = 10;

// Returns how long a short task's run is expected to last from now.
core::milliseconds ExpectedRemaining(const task_state& task,
                                     core::monotonic_time now) {
  if (task.Phase() == task_phase::kStopping) return core::milliseconds(0);
  const double elapsed_ms = std::chrono::duration<double, std::milli>(
                                now - std::max(task.placed_at, task.confirmed))
                                .count();
  const double remaining_ms =
      std::max(static_cast<double>(task.Spec().estimated_ms()) - elapsed_ms,
               kMinRemainingShare * elapsed_ms);
  const int pace = task.pace_percent == kUnknownPace
                       ? kFullPace
                       : std::max(task.pace_percent, kMinExpectedPace);
  return core::milliseconds(
      static_cast<std::int64_t>(remaining_ms * kFullPace / pace));
}

// Orders tasks that can be placed now before others; then those that have stood
// still for long and those whose draining executor leaves first; then large
// tasks, which fit into fewer gaps, before small ones. Tasks of one step are
// adjacent among each of these, those first that accept more executors.
bool ReservedBefore(const interrupted_task& left, const interrupted_task& right,
                    core::monotonic_time now) {
  const auto rank = [now](const interrupted_task& what) {
    const task_state& task = *what.task;
    const core::resources needs = task.Needs();
    const bool overdue = what.restartable_at <= now &&
                         now - task.interrupted_since >= kLongStandstill;
    return std::tuple(what.restartable_at > now, !overdue, what.stays,
                      -needs.processor_milli, -needs.memory_mib,
                      std::string_view(task.job->Id()), task.step,
                      what.restartable_at, !task.failed_on.empty(), task.index);
  };
  return rank(left) < rank(right);
}

}  // namespace

std::optional<core::milliseconds> capacity_reserve::outlook::TimeUntilFree(
    const core::resources& amount) const {
  if (free.Holds(amount)) return core::milliseconds(0);
  core::resources sum = free;
  for (const auto& [time, released] : releases) {
    sum += released;
    if (sum.Holds(amount)) return time;
  }
  return std::nullopt;
}

std::vector<interrupted_task> capacity_reserve::Update(
    core::monotonic_time now) {
  std::vector<interrupted_task> found = FindInterruptedTasks(
      state_, options_.expiry, now, now + options_.max_lead);
  if (found.empty() && interrupted_.empty()) return found;
  const auto leased =
      std::ranges::count_if(found, [now](const interrupted_task& what) {
        return what.restartable_at > now && !what.leaving;
      });
  // Executors that are back in contact need no reservations elsewhere.
  const bool fewer_leased = leased < std::exchange(leased_, leased);
  // The cost of a renewal grows with the tasks. One that gives a quarter of
  // them their first reservation is worth it at once.
  const auto periods = 4 * CountAssigned(now) < 3 * found.size()
                           ? 1
                           : 1 + found.size() / kTasksPerPeriod;
  const auto period = options_.refresh_period * periods;
  if (!found.empty() && !fewer_leased && now - updated_at_ < period) {
    return found;
  }
  updated_at_ = now;
  interrupted_ = found;
  std::ranges::sort(interrupted_, [now](const auto& left, const auto& right) {
    return ReservedBefore(left, right, now);
  });
  const reserve_summary before =
      std::exchange(summary_, {.interrupted = interrupted_.size()});
  summary_.leaving = static_cast<std::size_t>(
      std::ranges::count_if(interrupted_, &interrupted_task::leaving));
  Apply(AssignAll(now));
  if (on_change && summary_ != before) on_change(summary_);
  return found;
}

std::size_t capacity_reserve::CountAssigned(core::monotonic_time now) const {
  std::size_t assigned = summary_.without_executor;
  for (const auto& [id, executor] : state_.executors) {
    if (executor.Available(now)) assigned += executor.Reservations().size();
  }
  return assigned;
}

std::vector<capacity_reserve::outlook> capacity_reserve::AssignAll(
    core::monotonic_time now) {
  std::vector<outlook> outlooks;
  if (interrupted_.empty()) return outlooks;
  for (auto& [id, executor] : state_.executors) {
    if (executor.Available(now)) {
      outlooks.push_back(MakeOutlook(executor, now));
    }
  }
  std::span<const interrupted_task> rest = interrupted_;
  while (!rest.empty()) {
    const auto* const step = rest.front().task->spec;
    const auto end = std::ranges::find_if(
        rest, [step](const auto& other) { return other.task->spec != step; });
    const auto count = static_cast<std::size_t>(end - rest.begin());
    AssignStep(rest.first(count), outlooks, now);
    rest = rest.subspan(count);
  }
  return outlooks;
}

void capacity_reserve::Apply(std::vector<outlook> outlooks) {
  // Both are in the order of the executors' names.
  auto next = outlooks.begin();
  for (auto& [id, executor] : state_.executors) {
    if (next != outlooks.end() && next->executor == &executor) {
      executor.SetReservations(std::move(next->reservations));
      ++next;
    } else {
      executor.SetReservations({});
    }
  }
}

capacity_reserve::outlook capacity_reserve::MakeOutlook(
    executor_state& executor, core::monotonic_time now) {
  outlook result{.executor = &executor, .free = executor.Free()};
  for (const task_state* const task : executor.active) {
    if (task->Spec().long_running()) continue;
    result.releases.emplace_back(ExpectedRemaining(*task, now), task->Needs());
  }
  std::ranges::sort(result.releases, {},
                    &std::pair<core::milliseconds, core::resources>::first);
  return result;
}

void capacity_reserve::AssignStep(std::span<const interrupted_task> tasks,
                                  std::vector<outlook>& outlooks,
                                  core::monotonic_time now) {
  const std::string_view service = state_.ServiceOf(*tasks[0].task->job);
  std::vector<choice> choices;
  choices.reserve(outlooks.size());
  for (outlook& where : outlooks) {
    choices.push_back(Evaluate(where, tasks[0], service, now));
  }
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const task_state& task = *tasks[i].task;
    const auto best = std::ranges::min_element(choices, {}, &choice::penalty);
    if (best == choices.end() || std::isinf(best->penalty)) {
      summary_.without_executor += tasks.size() - i;
      return;
    }
    outlook& where = *best->where;
    where.free -= task.Needs();
    const bool early =
        tasks[i].restartable_at - now > best->wait + options_.lead_margin;
    where.reservations.push_back({.step = task.spec,
                                  .amount = task.Needs(),
                                  .open_to_short_tasks = early});
    if (!early) ++summary_.reserved;
    *best = Evaluate(where, tasks[i], service, now);
  }
}

capacity_reserve::choice capacity_reserve::Evaluate(
    outlook& where, const interrupted_task& what, std::string_view service,
    core::monotonic_time now) const {
  const executor_state& executor = *where.executor;
  const task_state& task = *what.task;
  const std::string& id = executor.info.id;
  const auto assigned = std::ranges::count(where.reservations, task.spec,
                                           &capacity_reservation::step);
  choice result{.where = &where};
  if (executor.info.service != service || !executor.HealthPermits(task, now) ||
      executor.ReservedForOtherJob(task.job, now) ||
      !Permits(executor, task, assigned) ||
      task.job->StepOf(task).permits.IsRefused(id)) {
    return result;
  }
  const std::optional<core::milliseconds> wait =
      where.TimeUntilFree(task.Needs());
  if (!wait) return result;
  const double wait_ms = static_cast<double>(wait->count());
  const double left_ms =
      std::chrono::duration<double, std::milli>(what.restartable_at - now)
          .count();
  result.wait = *wait;
  // Capacity stands idle while a task waits for more of it.
  result.penalty =
      wait_ms + std::max(0.0, wait_ms - left_ms) +
      kMillisPerCost * (cost_(executor, task, now + options_.held_back) +
                        HealthCost(executor, task, now));
  if (executor.ReservedFor(task.spec) > assigned) {
    result.penalty -= kKeepAdvantageMs;
  }
  if (task.failed_on == id) result.penalty += kMillisPerCost * kFailedHereCost;
  return result;
}

}  // namespace waxwingfront::fleet
