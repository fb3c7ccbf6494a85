#include "support/sharing_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kStepMs = 50;
constexpr std::int64_t kReportMs = 500;
constexpr std::int64_t kCapacity = 32'000;
constexpr std::int64_t kServingCpu = 6000;
constexpr std::int64_t kBestEffortCpu = 3000;
constexpr std::uint32_t kServingTasks = 5;
constexpr double kBaseMs = 4.0;
constexpr std::int64_t kTargetMs = 18;
constexpr double kWorkMs = 1700.0;
constexpr int kMaxTailMs = 300;
// Tail latencies follow the utilisation with this time constant, as in recorded
// reports.
constexpr double kSmoothingMs = 700.0;
// Number of steps over which processor use is averaged, as on the platform.
constexpr std::size_t kUseSteps = 500 / kStepMs;

struct simulation {
  explicit simulation(const sharing_simulation_options& chosen)
      : options(chosen),
        fixture({{.name = "serve", .priority = 0},
                 {.name = "fill", .priority = 2, .stretch = 2.0}}) {}

  struct running_task {
    std::string executor;
    std::uint32_t run = 0;
    std::int64_t since = 0;
    double worked_ms = 0.0;
    int pace = 100;
    // Processor thousandths used in the latest steps.
    std::deque<std::int64_t> use;
    double utilisation = 0.3;
    std::int64_t over_target_since = -1;
  };

  const sharing_simulation_options& options;
  fleet_fixture fixture;
  std::map<fleet::task_ref, running_task> running;
  std::map<std::string, std::uint64_t> end_numbers;
  std::map<std::string, std::vector<fleet::ended_report>> unreported;
  std::map<std::string, std::int64_t> submitted;
  sharing_result result;
  std::int64_t serving_time = 0;
  std::int64_t over_target_time = 0;

  static bool Serves(const fleet::task_ref& task) {
    return task.job.starts_with("serve");
  }
  static std::string Image(const fleet::task_ref& task) {
    const int number = std::stoi(task.job.substr(task.job.find('-') + 1));
    return (Serves(task) ? "s" : "f") + std::to_string(number % 3);
  }

  static double OwnLoad(const fleet::task_ref& task, std::int64_t now) {
    const int number = std::stoi(task.job.substr(task.job.find('-') + 1));
    return 0.42 + 0.2 * std::sin(static_cast<double>(now) / 1600.0 + number);
  }

  void Submit(const std::string& id, bool serves) {
    schema::fleet_job job =
        JobOf(id, serves ? kServingTasks : options.best_effort_tasks,
              serves ? kServingCpu : kBestEffortCpu, serves ? "serve" : "fill");
    schema::fleet_step& step = *job.mutable_steps(0);
    step.set_image(Image({.job = id}));
    step.set_long_running(serves);
    step.set_fills(!serves);
    step.set_checkpointing(!serves);
    if (serves) step.set_target_ms(kTargetMs);
    step.set_estimated_ms(static_cast<std::int64_t>(kWorkMs));
    fixture.Core().Submit(job, At(now));
    submitted[id] = now;
    if (!serves) ++result.submitted[Image({.job = id})];
  }

  void ApplyOrders(const fleet::orders& decided) {
    for (const fleet::start_order& start : decided.starts) {
      running[start.task] = {
          .executor = start.executor, .run = start.run, .since = now};
      fixture.Core().OnStartResponse(start, fleet::start_outcome::kAccepted,
                                     At(now));
    }
    for (const fleet::stop_order& stop : decided.stops) {
      End(stop.task, fleet::run_end::kStopped);
    }
    for (const fleet::pace_order& pace : decided.paces) {
      const auto found = running.find(pace.task);
      if (found != running.end()) found->second.pace = pace.percent;
    }
  }

  void End(const fleet::task_ref& name, fleet::run_end how) {
    const auto found = running.find(name);
    if (found == running.end()) return;
    unreported[found->second.executor].push_back(
        {.number = ++end_numbers[found->second.executor],
         .task = name,
         .run = found->second.run,
         .how = how});
    running.erase(found);
  }

  double InterferenceOn(const fleet::task_ref& task,
                        const std::string& executor) const {
    double sum = 0.0;
    for (const auto& [other, state] : running) {
      if (Serves(other) || state.executor != executor) continue;
      sum += options.interference(Image(task), Image(other)) * state.pace /
             100.0 * kBestEffortCpu / 1000.0;
    }
    return sum;
  }

  void Work() {
    const double limit = 1.0 - kBaseMs / kTargetMs;
    std::vector<fleet::task_ref> done;
    for (auto& [task, state] : running) {
      if (!Serves(task)) {
        state.worked_ms += static_cast<double>(kStepMs * state.pace) / 100.0;
        if (state.worked_ms >= kWorkMs) done.push_back(task);
        state.use.push_back(kBestEffortCpu * state.pace / 100);
        if (state.use.size() > kUseSteps) state.use.pop_front();
        continue;
      }
      const double own = OwnLoad(task, now);
      const double actual = own + InterferenceOn(task, state.executor);
      state.utilisation += (actual - state.utilisation) *
                           (1.0 - std::exp(-kStepMs / kSmoothingMs));
      serving_time += kStepMs;
      if (actual <= limit || own > limit) {
        state.over_target_since = -1;
        continue;
      }
      over_target_time += kStepMs;
      if (state.over_target_since < 0) state.over_target_since = now;
      result.longest_over_target_ms = std::max(result.longest_over_target_ms,
                                               now - state.over_target_since);
    }
    for (const fleet::task_ref& task : done) End(task, fleet::run_end::kDone);
  }

  void Report(const std::string& executor) {
    std::vector<fleet::running_report> rows;
    for (const auto& [task, state] : running) {
      if (state.executor != executor) continue;
      const double tail = std::min<double>(
          kMaxTailMs, kBaseMs / std::max(0.01, 1.0 - state.utilisation));
      rows.push_back({.task = task,
                      .run = state.run,
                      .checkpoint = "c",
                      .percent = 100,
                      .reported_load = Serves(task) ? static_cast<std::int64_t>(
                                                          std::lround(tail))
                                                    : MeanUse(state)});
    }
    fixture.Report(executor, now, std::move(rows),
                   std::exchange(unreported[executor], {}));
  }

  static std::int64_t MeanUse(const running_task& state) {
    std::int64_t sum = 0;
    for (const std::int64_t use : state.use) sum += use;
    return sum / static_cast<std::int64_t>(kUseSteps);
  }

  void CountCompleted() {
    for (auto entry = submitted.begin(); entry != submitted.end();) {
      const auto& [id, since] = *entry;
      if (fixture.Core().StoredState(id) != schema::FLEET_COMPLETED) {
        ++entry;
        continue;
      }
      ++result.best_effort_completed;
      const double objective = 2.0 * kWorkMs + 1000.0;
      if (static_cast<double>(now - since) <= objective) {
        ++result.best_effort_on_time;
        ++result.on_time[Image({.job = id})];
      }
      entry = submitted.erase(entry);
    }
  }

  std::int64_t now = 0;

  void Run() {
    for (int i = 0; i < options.executors; ++i) {
      fixture.AddExecutor("e" + std::to_string(i), kCapacity);
    }
    for (int i = 0; i < options.serving_jobs; ++i) {
      Submit("serve-" + std::to_string(i), true);
    }
    int best_effort = 0;
    const auto gap = static_cast<std::int64_t>(
        1000.0 / std::max(0.001, options.best_effort_jobs));
    const std::int64_t end = options.seconds * 1000;
    for (now = kStepMs; now < end; now += kStepMs) {
      if (options.best_effort_jobs > 0.0 && now % gap < kStepMs) {
        Submit("fill-" + std::to_string(best_effort++), false);
      }
      Work();
      for (int i = 0; i < options.executors; ++i) {
        const bool due = (now + i * kStepMs) % kReportMs < kStepMs;
        const std::string id = "e" + std::to_string(i);
        if (due || !unreported[id].empty()) Report(id);
      }
      ApplyOrders(fixture.Step(now));
      CountCompleted();
    }
    result.over_target_share =
        static_cast<double>(over_target_time) /
        static_cast<double>(std::max<std::int64_t>(1, serving_time));
  }
};

}  // namespace

sharing_result SimulateSharing(const sharing_simulation_options& options) {
  simulation current(options);
  current.Run();
  return current.result;
}

}  // namespace waxwingfront::tests
