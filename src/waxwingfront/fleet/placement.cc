#include "waxwingfront/fleet/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwingfront::fleet {
namespace {

// Duration of a reservation that is not renewed: some planning rounds.
constexpr core::milliseconds kReservationTime{500};
// At most one executor in this many is reserved, since short tasks use the same
// gaps.
constexpr std::size_t kExecutorsPerReservation = 30;

// Higher than any load cost, and so is the difference.
constexpr double kUnprovenCost = 10.0;
constexpr double kRecentFailureCost = 20.0;

// A value for each service. Executors of one service often follow each other.
template <typename Value>
class by_service {
 public:
  Value& Of(const executor_state& executor) {
    if (latest_ == nullptr || service_ != executor.info.service) {
      service_ = executor.info.service;
      latest_ = &values_[service_];
    }
    return *latest_;
  }
  const std::map<std::string_view, Value>& All() const { return values_; }

 private:
  std::map<std::string_view, Value> values_;
  std::string_view service_;
  Value* latest_ = nullptr;
};

bool UnderStepLimit(const executor_state& executor, const task_state& task,
                    std::ptrdiff_t planned) {
  const std::uint32_t limit = task.Spec().max_per_executor();
  if (limit == 0) return true;
  const auto here =
      std::ranges::count_if(executor.active, [&task](const task_state* other) {
        return other->job == task.job && other->occurrence == task.occurrence &&
               other->step == task.step;
      });
  return here + planned < static_cast<std::ptrdiff_t>(limit);
}

}  // namespace

bool Permits(const executor_state& executor, const task_state& task,
             std::ptrdiff_t planned) {
  const std::string& label = task.Spec().required_label();
  return (label.empty() || executor.HasLabel(label)) &&
         UnderStepLimit(executor, task, planned);
}

bool Fits(const executor_state& executor, const task_state& task) {
  return executor.HasCapacityFor(task) && Permits(executor, task);
}

placement_rejections CountRejections(const fleet_state& state,
                                     const task_state& task,
                                     std::string_view service,
                                     core::monotonic_time now,
                                     const placement_cost& cost) {
  placement_rejections rejections;
  for (const auto& [id, executor] : state.executors) {
    if (executor.info.service != service) continue;
    const bool has_room = executor.Free().Holds(task.Needs());
    if (!executor.Available(now) || !executor.HealthPermits(task, now)) {
      ++rejections.unusable;
      if (executor.EventuallyFree().Holds(task.Needs())) {
        ++rejections.unusable_with_room;
      }
    } else if (executor.ReservedForOtherJob(task.job, now) ||
               (has_room && !executor.HasCapacityFor(task))) {
      ++rejections.reserved;
    } else if (!has_room) {
      ++rejections.no_capacity;
      if (executor.EventuallyFree().Holds(task.Needs())) {
        ++rejections.filled_by_short_tasks;
      }
    } else if (!Fits(executor, task)) {
      ++rejections.not_permitted;
    } else if (std::isinf(cost(executor, task, now))) {
      ++rejections.too_costly;
    }
  }
  return rejections;
}

void ReserveCapacity(fleet_state& state, const task_state& task,
                     std::string_view service, core::monotonic_time now) {
  executor_state* best = nullptr;
  std::size_t reserved_for_others = 0;
  const core::resources needs = task.Needs();
  for (auto& [id, executor] : state.executors) {
    if (executor.ReservedForOtherJob(task.job, now)) {
      ++reserved_for_others;
      continue;
    }
    if (!executor.EventuallyFree().Holds(needs) || !executor.Usable(now) ||
        executor.info.service != service || !Permits(executor, task)) {
      continue;
    }
    // Prefers the executor already reserved, else the one with the most free
    // processor time.
    const bool reserved =
        executor.reserved_for == task.job && now < executor.reserved_until;
    if (best == nullptr || reserved ||
        executor.Free().processor_milli > best->Free().processor_milli) {
      best = &executor;
    }
    if (reserved) break;
  }
  if (best == nullptr || reserved_for_others * kExecutorsPerReservation >=
                             state.executors.size()) {
    return;
  }
  best->reserved_for = task.job;
  best->reserved_until = now + kReservationTime;
}

void ComparePeers(fleet_state& state, core::monotonic_time now) {
  struct service_health {
    std::size_t usable = 0;
    std::size_t suspect = 0;
  };
  by_service<service_health> services;
  for (const auto& [id, executor] : state.executors) {
    if (!executor.Usable(now)) continue;
    service_health& service = services.Of(executor);
    ++service.usable;
    if (executor.health.IsSuspect(now)) ++service.suspect;
  }
  for (auto& [id, executor] : state.executors) {
    const service_health& service = services.Of(executor);
    executor.peers_are_healthy = 2 * service.suspect <= service.usable;
  }
}

std::map<std::string_view, core::resources> MostFreeOfServices(
    const fleet_state& state, core::monotonic_time now) {
  by_service<core::resources> services;
  for (const auto& [id, executor] : state.executors) {
    if (!executor.Available(now)) continue;
    core::resources& most = services.Of(executor);
    const core::resources free = executor.Free();
    most.processor_milli = std::max(most.processor_milli, free.processor_milli);
    most.memory_mib = std::max(most.memory_mib, free.memory_mib);
    most.accelerators = std::max(most.accelerators, free.accelerators);
  }
  return services.All();
}

bool MayHost(const executor_state& executor, const task_state& task,
             std::string_view service, core::monotonic_time now) {
  // The most selective conditions come first.
  return executor.HasCapacityFor(task) && executor.Available(now) &&
         executor.HealthPermits(task, now) &&
         !executor.ReservedForOtherJob(task.job, now) &&
         executor.info.service == service && Permits(executor, task);
}

double HealthCost(const executor_state& executor, const task_state& task,
                  core::monotonic_time now) {
  // The next failure of a task that has failed may fail its job.
  if (task.failures > 0) {
    if (executor.health.HasRecentFailure(now)) return kRecentFailureCost;
    if (!executor.health.IsProven(now)) return kUnprovenCost;
  }
  const bool suspect =
      task.Spec().long_running() && executor.health.IsSuspect(now);
  return suspect ? kUnprovenCost : 0.0;
}

executor_state* ChooseExecutor(fleet_state& state, const task_state& task,
                               std::string_view service,
                               core::monotonic_time now,
                               const placement_cost& cost) {
  executor_state* best = nullptr;
  double lowest = 0.0;
  for (auto& [id, executor] : state.executors) {
    if (!MayHost(executor, task, service, now)) continue;
    double here = cost(executor, task, now);
    if (std::isinf(here)) continue;
    if (task.failed_on == id) here += kFailedHereCost;
    if (best == nullptr || here < lowest) {
      best = &executor;
      lowest = here;
    }
  }
  return best;
}

}  // namespace waxwingfront::fleet
