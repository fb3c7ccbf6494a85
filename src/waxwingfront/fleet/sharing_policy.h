// Decides where serving, filling and other tasks share executors, and at what
// pace filling tasks work. Answers the load of sites whose serving tasks hold
// most of the declared capacity while filling work lives on what they leave.
#ifndef WAXWINGFRONT_FLEET_SHARING_POLICY_H_
#define WAXWINGFRONT_FLEET_SHARING_POLICY_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/job_order.h"
#include "waxwingfront/fleet/sharing_model.h"

namespace waxwingfront::fleet {

class sharing_policy {
 public:
  explicit sharing_policy(fleet_state& state) : state_(state) {}

  // Cost of `task` on `executor`, see `placement_cost`; infinite where the task
  // should rather wait.
  double Cost(const executor_state& executor, const task_state& task,
              core::monotonic_time now) const;

  // See `placement_epoch`.
  std::optional<std::uint64_t> Epoch(const task_state& task,
                                     core::monotonic_time now) const;

  // To be called before a round of placements and after each serving task.
  void CountExecutors(core::monotonic_time now);

  // Learns from the executor's latest report and sets the pace of its filling
  // tasks.
  void OnReport(executor_state& executor, core::monotonic_time now);

  // Sets the pace of the executor's filling tasks after they have changed.
  void AdjustPace(executor_state& executor, core::monotonic_time now);

  void RemoveExecutor(std::string_view id) { model_.RemoveExecutor(id); }

  sharing_model& Model() { return model_; }

 private:
  // A filling task that wants its part of an executor's budgets.
  struct pace_claim {
    job_hope hope;
    core::monotonic_time due;
    task_state* task;

    friend bool operator<(const pace_claim& left, const pace_claim& right) {
      return std::tie(left.hope, left.due) < std::tie(right.hope, right.due);
    }
  };

  // How particular a serving task is, by the time that it has waited.
  enum class serving_stage { kGathers, kParticular, kAnywhere };
  static serving_stage StageOf(const task_state& task,
                               core::monotonic_time now);
  // Whether a serving task may be the first on an executor.
  bool MayOpen() const;
  double ServingCost(const executor_state& executor, const task_state& task,
                     core::monotonic_time now) const;
  double FillingCost(const executor_state& executor, const task_state& task,
                     core::monotonic_time now) const;
  double OrdinaryCost(const executor_state& executor,
                      const task_state& task) const;
  // Index of the hope of the task's job.
  std::size_t Hope(const task_state& task, core::monotonic_time now) const;

  const sharing_view& View(const executor_state& executor,
                           core::monotonic_time now) const;
  // What each serving image on the executor bears within the time ahead.
  std::vector<serving_budget> Budgets(const executor_state& executor,
                                      double ahead_seconds) const;
  // Takes from the budgets where tails are above their targets.
  void ApplyAlarms(const executor_state& executor,
                   std::vector<serving_budget>& budgets) const;
  // What the filling task at full pace adds to tasks of the serving image.
  double PressureOf(const executor_state& executor, std::string_view serving,
                    const task_state& filling) const;
  // Cores of the reference machine that the task at full pace uses.
  static double CoresOf(const executor_state& executor,
                        const task_state& filling);
  void Learn(executor_state& executor, core::monotonic_time now);
  void SetPace(executor_state& executor, task_state& task, double wanted);
  // Whether no serving task that `filling` presses is close to its target.
  bool Calm(const executor_state& executor, const task_state& filling) const;

  fleet_state& state_;
  sharing_model model_;
  // What a placement asks of one task for each executor.
  struct known_task {
    const task_state* task = nullptr;
    core::monotonic_time at{};
    std::size_t hope = 0;
    std::size_t image = 0;
    double heaviness = 0.0;
  };
  const known_task& Know(const task_state& task,
                         core::monotonic_time now) const;
  mutable known_task known_;
  // Usable executors, and those of them without serving tasks.
  double executors_ = 0.0;
  double free_executors_ = 0.0;
  // Serving tasks wait for room.
  bool serving_waits_ = false;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_SHARING_POLICY_H_
