#include "waxwingfront/fleet/standing_admission.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>
#include <vector>

#include "waxwingfront/fleet/job_deadlines.h"

namespace waxwingfront::fleet {
namespace {

// Best-effort tasks need no room of their own.
bool IsShort(const schema::fleet_step& step) {
  return !step.long_running() && !step.fills();
}

core::resources NeedsOf(const schema::fleet_step& step) {
  return {.processor_milli = step.fills() ? 0 : step.cpu_millis(),
          .memory_mib = step.memory_mb(),
          .accelerators = step.accelerators()};
}

// Returns how many tasks with these needs fit into `free`.
std::int64_t TasksIn(const core::resources& free,
                     const core::resources& needs) {
  std::int64_t count = std::numeric_limits<std::int64_t>::max();
  const auto limit_by = [&count](std::int64_t available, std::int64_t need) {
    if (need > 0) {
      count = std::min(count, std::max<std::int64_t>(0, available) / need);
    }
  };
  limit_by(free.processor_milli, needs.processor_milli);
  limit_by(free.memory_mib, needs.memory_mib);
  limit_by(free.accelerators, needs.accelerators);
  return count;
}

// Returns the size of `needs` in typical tasks: the largest share of any kind.
double SizeIn(const core::resources& needs, const core::resources& typical) {
  double size = 0.0;
  const auto consider = [&size](std::int64_t need, std::int64_t unit) {
    if (unit > 0) {
      size =
          std::max(size, static_cast<double>(need) / static_cast<double>(unit));
    }
  };
  consider(needs.processor_milli, typical.processor_milli);
  consider(needs.memory_mib, typical.memory_mib);
  consider(needs.accelerators, typical.accelerators);
  return size;
}

bool IsUnbounded(const core::resources& needs) {
  return needs == core::resources{};
}

// Returns the largest capacity of a service's executors, kind by kind.
core::resources LargestCapacity(const fleet_state& state,
                                std::string_view service) {
  core::resources largest;
  for (const auto& [id, executor] : state.executors) {
    if (executor.info.service != service || !executor.registered) continue;
    const core::resources& capacity = executor.info.capacity;
    largest = {
        .processor_milli =
            std::max(largest.processor_milli, capacity.processor_milli),
        .memory_mib = std::max(largest.memory_mib, capacity.memory_mib),
        .accelerators = std::max(largest.accelerators, capacity.accelerators)};
  }
  return largest;
}

// Calls `visit` with each short task that runs, or that waits for room. Jobs
// that are useless already wait behind the others, and tasks that exceed every
// executor wait in vain, so neither claims room.
void ForEachShortTask(const job_state& job, const queue_spec* queue,
                      const core::resources& largest, moment at,
                      const std::function<void(const task_state&)>& visit) {
  for (const auto& [k, occurrence] : job.Occurrences()) {
    const bool useful =
        FeasibilityOf(ComputeDeadlines(job, k, queue), at.now) !=
        deadline_feasibility::kInfeasible;
    const std::vector<step_state>& steps = occurrence.steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      const std::vector<task_state>& tasks = steps[s].tasks;
      if (!IsShort(tasks.front().Spec()) || steps[s].Done()) continue;
      const bool may_start = useful && largest.Holds(tasks.front().Needs()) &&
                             job.StepReady(k, s, at.unix_ms);
      for (const task_state& task : tasks) {
        const bool waits = may_start && task.Phase() == task_phase::kWaiting;
        if (task.Active() || waits) visit(task);
      }
    }
  }
}

}  // namespace

void standing_admission::Sample(moment at) {
  if (at.now - sampled_at_ < options_.sample_period) return;
  const double elapsed_ms = std::chrono::duration<double, std::milli>(
                                at.now - std::exchange(sampled_at_, at.now))
                                .count();
  const double kept = std::exp(
      -elapsed_ms / static_cast<double>(options_.demand_memory.count()));
  for (auto& [service, demand] : demands_) {
    demand.sum = {};
    demand.tasks = 0;
    demand.highest *= kept;
  }
  std::map<std::string_view, core::resources> largest;
  for (const job_state* const job : state_.live) {
    if (job->Final()) continue;
    const std::string_view service = state_.ServiceOf(*job);
    if (!largest.contains(service)) {
      largest[service] = LargestCapacity(state_, service);
    }
    short_demand* demand = nullptr;
    ForEachShortTask(*job, state_.QueueOf(*job), largest[service], at,
                     [&](const task_state& task) {
                       if (demand == nullptr) {
                         demand = &demands_[std::string(service)];
                       }
                       demand->sum += task.Needs();
                       ++demand->tasks;
                     });
  }
  for (auto& [service, demand] : demands_) {
    if (demand.tasks == 0) continue;
    demand.typical = {
        .processor_milli = demand.sum.processor_milli / demand.tasks,
        .memory_mib = demand.sum.memory_mib / demand.tasks,
        .accelerators = demand.sum.accelerators / demand.tasks};
    demand.highest =
        std::max(demand.highest, static_cast<double>(demand.tasks));
  }
}

standing_room standing_admission::RoomFor(const schema::fleet_job& job,
                                          std::string_view service) const {
  standing_room figures;
  const auto found = demands_.find(service);
  if (found == demands_.end() || IsUnbounded(found->second.typical)) {
    return figures;
  }
  const short_demand& demand = found->second;
  figures.demand = demand.highest;
  for (const schema::fleet_step& step : job.steps()) {
    if (!step.long_running()) continue;
    figures.displaced += static_cast<double>(step.task_count()) *
                         SizeIn(NeedsOf(step), demand.typical);
  }
  for (const auto& [id, executor] : state_.executors) {
    if (executor.info.service != service || !executor.registered ||
        executor.info.draining) {
      continue;
    }
    const core::resources lasting_free =
        executor.EventuallyFree() - executor.Reserved();
    figures.room += static_cast<double>(TasksIn(lasting_free, demand.typical));
  }
  return figures;
}

bool standing_admission::MayAdmit(const standing_room& figures) const {
  return figures.displaced == 0.0 || figures.demand < 1.0 ||
         figures.room - figures.displaced >= options_.headroom * figures.demand;
}

}  // namespace waxwingfront::fleet
