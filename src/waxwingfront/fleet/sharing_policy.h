// Decides where serving, best-effort and other tasks share executors, and sets
// the pace of best-effort tasks. Intended for sites whose serving tasks hold
// most of the declared capacity, while best-effort tasks use what remains.
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
#include "waxwingfront/fleet/job_deadlines.h"
#include "waxwingfront/fleet/sharing_model.h"

namespace waxwingfront::fleet {

class sharing_policy {
 public:
  explicit sharing_policy(fleet_state& state) : state_(state) {}

  // Returns the cost of `task` on `executor`, see `placement_cost`; infinite if
  // the task should wait instead.
  double Cost(const executor_state& executor, const task_state& task,
              core::monotonic_time now) const;

  // See `placement_epoch`.
  std::optional<std::uint64_t> Epoch(const task_state& task,
                                     core::monotonic_time now) const;

  // Must be called before each planning round.
  void CountExecutors(core::monotonic_time now);
  // Must be called after each placement of a serving task.
  void OnServingPlaced(const task_state& task);

  // Updates the model from the executor's latest report and sets the pace of
  // its best-effort tasks.
  void OnReport(executor_state& executor, core::monotonic_time now);

  // Sets the pace of the executor's best-effort tasks after these have changed.
  void AdjustPace(executor_state& executor, core::monotonic_time now);

  void RemoveExecutor(std::string_view id) { model_.RemoveExecutor(id); }

  sharing_model& Model() { return model_; }

 private:
  // A best-effort task that competes for an executor's budgets.
  struct pace_claim {
    deadline_feasibility feasibility;
    core::monotonic_time due;
    task_state* task;

    friend bool operator<(const pace_claim& left, const pace_claim& right) {
      return std::tie(left.feasibility, left.due) <
             std::tie(right.feasibility, right.due);
    }
  };

  // How selective a serving task's placement is, by the time it has waited.
  enum class serving_stage { kBatching, kSelective, kAnyExecutor };
  static serving_stage StageOf(const task_state& task,
                               core::monotonic_time now);
  // True if a serving task may be the first one on an executor.
  bool MayUseFreeExecutor() const;
  // True if serving tasks wait for capacity.
  bool ServingWaits() const {
    if (!serving_waits_) serving_waits_ = state_.AnyServingTaskWaits();
    return *serving_waits_;
  }
  double ServingCost(const executor_state& executor, const task_state& task,
                     core::monotonic_time now) const;
  double BestEffortCost(const executor_state& executor, const task_state& task,
                        core::monotonic_time now) const;
  double OrdinaryCost(const executor_state& executor,
                      const task_state& task) const;
  // Returns the feasibility of the task's job as an index.
  std::size_t Feasibility(const task_state& task,
                          core::monotonic_time now) const;

  const sharing_view& View(const executor_state& executor,
                           core::monotonic_time now) const;
  // Returns the interference budget of each serving image on the executor
  // within the time ahead.
  std::vector<serving_budget> Budgets(const executor_state& executor,
                                      double ahead_seconds) const;
  // Reduces the budgets of images whose tail latency is far above its target.
  void CutBudgets(const executor_state& executor,
                  std::vector<serving_budget>& budgets) const;
  // Returns the utilisation that the best-effort task at full pace adds to
  // tasks of the serving image.
  double InterferenceOf(const executor_state& executor,
                        std::string_view serving,
                        const task_state& best_effort) const;
  // Returns the cores of the reference machine that the task uses at full pace.
  static double CoresOf(const executor_state& executor,
                        const task_state& best_effort);
  void UpdateModel(executor_state& executor, core::monotonic_time now);
  void SetPace(executor_state& executor, task_state& task, double target);
  // True if no serving task that `best_effort` interferes with is close to its
  // target.
  bool MayRaisePace(const executor_state& executor,
                    const task_state& best_effort) const;

  fleet_state& state_;
  sharing_model model_;
  // Values of one task that a placement needs for each executor.
  struct cached_task {
    const task_state* task = nullptr;
    core::monotonic_time at{};
    std::size_t feasibility = 0;
    std::size_t image = 0;
    double contentiousness = 0.0;
  };
  const cached_task& CachedValues(const task_state& task,
                                  core::monotonic_time now) const;
  mutable cached_task cached_;
  // Usable executors, and those of them without serving tasks.
  double executors_ = 0.0;
  double free_executors_ = 0.0;
  // True if serving tasks wait for capacity; empty until it is needed.
  mutable std::optional<bool> serving_waits_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_SHARING_POLICY_H_
