// How much a round of planning does, and that it chooses as a search through
// all executors for each task would.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"
#include "waxwingfront/fleet/planner.h"

namespace waxwingfront::tests {
namespace {

constexpr int kExecutors = 490;
constexpr std::int64_t kCapacity = 32'000;

std::string ExecutorName(int index) {
  constexpr int kFirst = 1000;
  return "e" + std::to_string(kFirst + index);
}

// Executors and jobs that change at random between rounds.
class random_fleet {
 public:
  random_fleet()
      : planner_(
            state_,
            [this](const fleet::executor_state& executor,
                   const fleet::task_state& task,
                   core::monotonic_time) { return Cost(executor, task); },
            [this](const fleet::task_state&,
                   core::monotonic_time) -> std::optional<std::uint64_t> {
              if (epoch_ % 5 == 0) return std::nullopt;
              return epoch_;
            },
            fleet::locality(1.0)) {
    state_.current_manifest = ManifestOf({{}});
    for (int i = 0; i < kFew; ++i) {
      fleet::executor_state& executor = state_.executors[ExecutorName(i)];
      executor.info = {.id = ExecutorName(i),
                       .service = i % 7 == 6 ? "other" : "s",
                       .capacity = {.processor_milli = 2000 + Draw(4) * 1000,
                                    .memory_mib = 1'000'000}};
      executor.registered = true;
      executor.reached = true;
      executor.in_contact = true;
    }
    planner_.on_placed = [this](const fleet::task_state& task,
                                fleet::moment at) { CheckPlaced(task, at); };
  }

  void Round(std::int64_t at_ms) {
    const fleet::moment at = At(at_ms);
    for (std::int64_t changes = Draw(5); changes > 0; --changes) Change(at);
    planner_.Plan(at, {});
    CheckWaiting(at);
  }

 private:
  static constexpr int kFew = 12;

  static std::int64_t Draw(std::int64_t below) {
    return *rc::gen::inRange<std::int64_t>(0, below);
  }

  // Dearer with each task; too dear beyond a number that depends on the job.
  double Cost(const fleet::executor_state& executor,
              const fleet::task_state& task) const {
    const std::size_t mixed =
        std::hash<std::string>{}(executor.info.id + task.job->Id());
    const std::size_t limit = (mixed + epoch_) % 4;
    if (task.Spec().fills() && executor.active.size() >= limit) {
      return std::numeric_limits<double>::infinity();
    }
    return static_cast<double>(mixed % 3) +
           static_cast<double>(executor.active.size());
  }

  void Submit(fleet::moment at) {
    const std::string id = "job" + std::to_string(state_.jobs.size());
    schema::fleet_job job =
        JobOf(id, static_cast<std::uint32_t>(1 + Draw(6)), 500 + 500 * Draw(4));
    schema::fleet_step& step = *job.mutable_steps(0);
    step.set_fills(Draw(2) == 0);
    step.set_long_running(!step.fills() && Draw(4) == 0);
    step.set_max_per_executor(static_cast<std::uint32_t>(Draw(3)));
    auto fresh = std::make_unique<fleet::job_state>(job, at.now);
    state_.live.push_back(fresh.get());
    state_.jobs[id] = std::move(fresh);
  }

  void Change(fleet::moment at) {
    fleet::executor_state& executor =
        state_.executors.at(ExecutorName(static_cast<int>(Draw(kFew))));
    switch (Draw(7)) {
      case 0:
      case 1:
        Submit(at);
        break;
      case 2:
        if (executor.active.empty()) break;
        if (Draw(2) == 0) {
          executor.active.front()->failed_on = executor.info.id;
        }
        state_.Release(*executor.active.front(), at.now);
        break;
      case 3:
        executor.avoid_until = at.now + core::milliseconds(Draw(100));
        break;
      case 4:
        executor.in_contact = !executor.in_contact;
        break;
      case 5:
        executor.kept_for = state_.live.empty() ? nullptr : state_.live.front();
        executor.kept_until = at.now + core::milliseconds(Draw(100));
        break;
      default:
        ++epoch_;
    }
  }

  fleet::executor_state* Search(const fleet::task_state& task,
                                fleet::moment at) {
    return fleet::ChooseExecutor(
        state_, task, "s", at.now,
        [this](const fleet::executor_state& executor,
               const fleet::task_state& what,
               core::monotonic_time) { return Cost(executor, what); });
  }

  void CheckPlaced(const fleet::task_state& placed, fleet::moment at) {
    fleet::task_state& task = *state_.FindTask(placed.Ref());
    fleet::executor_state& executor = *state_.FindExecutor(task.executor);
    executor.Remove(task);
    const fleet::executor_state* const found = Search(task, at);
    executor.Add(task);
    RC_ASSERT(found == &executor);
  }

  void CheckWaiting(fleet::moment at) {
    for (fleet::job_state* const job : state_.live) {
      job->ForEachTask([&](fleet::task_state& task) {
        if (task.phase != fleet::task_phase::kWaiting) return;
        RC_ASSERT(Search(task, at) == nullptr);
      });
    }
  }

  fleet::fleet_state state_;
  fleet::planner planner_;
  std::size_t epoch_ = 1;
};

TEST_CASE("planning chooses what a search for each task would choose",
          "[fleet]") {
  rc::prop("over rounds between which executors, jobs and costs change", [] {
    random_fleet fleet;
    constexpr int kRounds = 40;
    constexpr std::int64_t kRoundMs = 15;
    for (int round = 1; round <= kRounds; ++round) {
      fleet.Round(round * kRoundMs);
    }
  });
}

TEST_CASE("the tasks of a wide step share one look at all executors",
          "[fleet]") {
  constexpr std::uint32_t kTasks = 80;
  fleet_fixture scene;
  for (int i = 0; i < kExecutors; ++i) {
    scene.AddExecutor(ExecutorName(i), kCapacity);
  }
  scene.Core().Submit(JobOf("wide", kTasks, 3000), At(0));
  CHECK(scene.Step(10).starts.size() == kTasks);
  CHECK(scene.Core().Evaluations() <= kExecutors + kTasks);
}

TEST_CASE("jobs without room cost a round only what has changed since",
          "[fleet]") {
  constexpr int kWaiting = 200;
  constexpr std::int64_t kTaskCpu = 1000;
  constexpr std::uint64_t kRoom = kCapacity / kTaskCpu;
  fleet_fixture scene;
  for (int i = 0; i < kExecutors; ++i) {
    scene.AddExecutor(ExecutorName(i), kCapacity);
  }
  scene.Core().Submit(JobOf("first", kExecutors, kCapacity), At(0));
  const fleet::orders full = scene.StepAccepted(10);
  REQUIRE(full.starts.size() == kExecutors);
  for (int i = 0; i < kWaiting; ++i) {
    scene.Core().Submit(JobOf("waits" + std::to_string(i), 20, kTaskCpu),
                        At(20));
  }
  CHECK(scene.Step(30).starts.empty());
  const std::uint64_t tried = scene.Core().Evaluations();
  CHECK(scene.Step(45).starts.empty());
  CHECK(scene.Core().Evaluations() == tried);
  const fleet::start_order& one = full.starts.front();
  scene.Report(one.executor, 50, {},
               {{.number = 1,
                 .task = one.task,
                 .run = one.run,
                 .how = fleet::run_end::kDone}});
  CHECK(scene.Step(60).starts.size() == kRoom);
  // Each step looks at the one executor, and again after each placement.
  CHECK(scene.Core().Evaluations() - tried <= kWaiting + kRoom);
}

// A job that has found no room on the only executor of its service, "a".
struct waiting_scene {
  waiting_scene() {
    scene.AddExecutor("a", 1000);
    scene.Core().Submit(JobOf("first", 1, 1000), At(0));
    REQUIRE(scene.StepAccepted(10).starts.size() == 1);
    scene.Core().Submit(JobOf("second", 1, 1000), At(20));
    REQUIRE(scene.Step(30).starts.empty());
    REQUIRE(scene.Step(45).starts.empty());
  }

  fleet_fixture scene;
};

TEST_CASE("a job without room sees that its executor has grown", "[fleet]") {
  waiting_scene waiting;
  waiting.scene.Core().SetExecutor(
      {.id = "a",
       .address = "a",
       .service = "s",
       .capacity = {.processor_milli = 2000, .memory_mib = 1'000'000}});
  CHECK(waiting.scene.Step(60).starts.size() == 1);
}

TEST_CASE("a job without room follows its queue to another service",
          "[fleet]") {
  waiting_scene waiting;
  fleet_fixture& scene = waiting.scene;
  scene.Core().SetExecutor(
      {.id = "b",
       .address = "b",
       .service = "t",
       .capacity = {.processor_milli = 1000, .memory_mib = 1'000'000}});
  scene.Report("b", 50, {});
  REQUIRE(scene.Step(60).starts.empty());
  REQUIRE(scene.Step(75).starts.empty());
  fleet::manifest moved = ManifestOf({{}});
  ++moved.version;
  moved.queues.front().service = "t";
  moved.services.push_back({.name = "t"});
  scene.Core().SetManifest(moved);
  const fleet::orders orders = scene.Step(90);
  REQUIRE(orders.starts.size() == 1);
  CHECK(orders.starts.front().executor == "b");
}

TEST_CASE("a round that ends early goes on where it ended, urgent jobs first",
          "[fleet]") {
  constexpr int kJobs = 3;
  fleet_fixture scene(
      {{.name = "urgent", .priority = 0}, {.name = "later", .priority = 2}});
  scene.AddExecutor("a", kCapacity);
  for (int i = 0; i < kJobs; ++i) {
    scene.Core().Submit(JobOf("later" + std::to_string(i), 1, 1000, "later"),
                        At(i));
  }
  const auto plan = [&scene](std::int64_t at_ms, bool& all) {
    all = scene.Core().Plan(At(at_ms), [] { return true; });
    scene.Store(at_ms);
    std::vector<std::string> started;
    for (const auto& start : scene.Core().TakeOrders().starts) {
      started.push_back(start.task.job);
    }
    return started;
  };
  bool all = true;
  CHECK(plan(10, all) == std::vector<std::string>{"later0"});
  CHECK_FALSE(all);
  scene.Core().Submit(JobOf("urgent", 1, 1000, "urgent"), At(11));
  CHECK(plan(12, all) == std::vector<std::string>{"urgent"});
  CHECK_FALSE(all);
  CHECK(plan(13, all) == std::vector<std::string>{"later1"});
  CHECK_FALSE(all);
  CHECK(plan(14, all) == std::vector<std::string>{"later2"});
  CHECK(all);
}

TEST_CASE("jobs without room do not keep a short round from later ones",
          "[fleet]") {
  fleet_fixture scene;
  scene.AddExecutor("a", kCapacity);
  for (int i = 0; i < 3; ++i) {
    scene.Core().Submit(JobOf("large" + std::to_string(i), 1, 2 * kCapacity),
                        At(i));
  }
  scene.Core().Submit(JobOf("small", 1, 1000), At(4));
  std::size_t started = 0;
  for (std::int64_t round = 1; round <= 4; ++round) {
    scene.Core().Plan(At(5 + round), [] { return true; });
    scene.Store(5 + round);
    started += scene.Core().TakeOrders().starts.size();
  }
  CHECK(started == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
