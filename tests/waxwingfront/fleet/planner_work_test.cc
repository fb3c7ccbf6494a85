// Guards against planning rounds that evaluate more executors than necessary,
// or that select differently from a full search of all executors for each task.
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

// A fleet whose executors and jobs change at random between rounds.
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
    for (int i = 0; i < kSmallFleetSize; ++i) {
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
    planner_.Plan({}, at, {});
    CheckWaiting(at);
  }

 private:
  static constexpr int kSmallFleetSize = 12;

  static std::int64_t Draw(std::int64_t below) {
    return *rc::gen::inRange<std::int64_t>(0, below);
  }

  // Increases with each task; infinite beyond a number that depends on the job.
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
    fleet::executor_state& executor = state_.executors.at(
        ExecutorName(static_cast<int>(Draw(kSmallFleetSize))));
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
        executor.reserved_for =
            state_.live.empty() ? nullptr : state_.live.front();
        executor.reserved_until = at.now + core::milliseconds(Draw(100));
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
        if (task.Phase() != fleet::task_phase::kWaiting) return;
        RC_ASSERT(Search(task, at) == nullptr);
      });
    }
  }

  fleet::fleet_state state_;
  fleet::planner planner_;
  std::size_t epoch_ = 1;
};

TEST_CASE("planning selects the same executors as a full search for each task",
          "[fleet]") {
  rc::prop("executors, jobs and costs change between rounds", [] {
    random_fleet fleet;
    constexpr int kRounds = 40;
    constexpr std::int64_t kRoundMs = 15;
    for (int round = 1; round <= kRounds; ++round) {
      fleet.Round(round * kRoundMs);
    }
  });
}

TEST_CASE("the tasks of a wide step share one evaluation of all executors",
          "[fleet]") {
  constexpr std::uint32_t kTasks = 80;
  fleet_fixture fixture;
  for (int i = 0; i < kExecutors; ++i) {
    fixture.AddExecutor(ExecutorName(i), kCapacity);
  }
  fixture.Core().Submit(JobOf("wide", kTasks, 3000), At(0));
  CHECK(fixture.Step(10).starts.size() == kTasks);
  CHECK(fixture.Core().Evaluations() <= kExecutors + kTasks);
}

TEST_CASE("jobs without capacity evaluate only executors that have changed",
          "[fleet]") {
  constexpr int kWaiting = 200;
  constexpr std::int64_t kTaskCpu = 1000;
  constexpr std::uint64_t kRoom = kCapacity / kTaskCpu;
  fleet_fixture fixture;
  for (int i = 0; i < kExecutors; ++i) {
    fixture.AddExecutor(ExecutorName(i), kCapacity);
  }
  fixture.Core().Submit(JobOf("first", kExecutors, kCapacity), At(0));
  const fleet::orders full = fixture.StepAccepted(10);
  REQUIRE(full.starts.size() == kExecutors);
  for (int i = 0; i < kWaiting; ++i) {
    fixture.Core().Submit(JobOf("waits" + std::to_string(i), 20, kTaskCpu),
                          At(20));
  }
  CHECK(fixture.Step(30).starts.empty());
  const std::uint64_t tried = fixture.Core().Evaluations();
  CHECK(fixture.Step(45).starts.empty());
  CHECK(fixture.Core().Evaluations() == tried);
  const fleet::start_order& one = full.starts.front();
  fixture.Report(one.executor, 50, {},
                 {{.number = 1,
                   .task = one.task,
                   .run = one.run,
                   .how = fleet::run_end::kDone}});
  CHECK(fixture.Step(60).starts.size() == kRoom);
  // Each step evaluates the one executor, and again after each placement.
  CHECK(fixture.Core().Evaluations() - tried <= kWaiting + kRoom);
}

// A job that finds no capacity on "a", the only executor of its service.
struct waiting_job_fixture {
  waiting_job_fixture() {
    fixture.AddExecutor("a", 1000);
    fixture.Core().Submit(JobOf("first", 1, 1000), At(0));
    REQUIRE(fixture.StepAccepted(10).starts.size() == 1);
    fixture.Core().Submit(JobOf("second", 1, 1000), At(20));
    REQUIRE(fixture.Step(30).starts.empty());
    REQUIRE(fixture.Step(45).starts.empty());
  }

  fleet_fixture fixture;
};

TEST_CASE("a waiting job is placed once its executor's capacity grows",
          "[fleet]") {
  waiting_job_fixture waiting;
  waiting.fixture.Core().SetExecutor(
      {.id = "a",
       .address = "a",
       .service = "s",
       .capacity = {.processor_milli = 2000, .memory_mib = 1'000'000}});
  CHECK(waiting.fixture.Step(60).starts.size() == 1);
}

TEST_CASE("a waiting job follows its queue to another service", "[fleet]") {
  waiting_job_fixture waiting;
  fleet_fixture& fixture = waiting.fixture;
  fixture.Core().SetExecutor(
      {.id = "b",
       .address = "b",
       .service = "t",
       .capacity = {.processor_milli = 1000, .memory_mib = 1'000'000}});
  fixture.Report("b", 50, {});
  REQUIRE(fixture.Step(60).starts.empty());
  REQUIRE(fixture.Step(75).starts.empty());
  fleet::manifest moved = ManifestOf({{}});
  ++moved.version;
  moved.queues.front().service = "t";
  moved.services.push_back({.name = "t"});
  fixture.Core().SetManifest(moved);
  const fleet::orders orders = fixture.Step(90);
  REQUIRE(orders.starts.size() == 1);
  CHECK(orders.starts.front().executor == "b");
}

TEST_CASE("a round that stops early is resumed by the next, urgent jobs first",
          "[fleet]") {
  constexpr int kJobs = 3;
  fleet_fixture fixture(
      {{.name = "urgent", .priority = 0}, {.name = "later", .priority = 2}});
  fixture.AddExecutor("a", kCapacity);
  for (int i = 0; i < kJobs; ++i) {
    fixture.Core().Submit(JobOf("later" + std::to_string(i), 1, 1000, "later"),
                          At(i));
  }
  const auto plan = [&fixture](std::int64_t at_ms, bool& all) {
    all = fixture.Core().Plan(At(at_ms), [] { return true; });
    fixture.Store(at_ms);
    std::vector<std::string> started;
    for (const auto& start : fixture.Core().TakeOrders(At(at_ms)).starts) {
      started.push_back(start.task.job);
    }
    return started;
  };
  bool all = true;
  CHECK(plan(10, all) == std::vector<std::string>{"later0"});
  CHECK_FALSE(all);
  fixture.Core().Submit(JobOf("urgent", 1, 1000, "urgent"), At(11));
  CHECK(plan(12, all) == std::vector<std::string>{"urgent"});
  CHECK_FALSE(all);
  CHECK(plan(13, all) == std::vector<std::string>{"later1"});
  CHECK_FALSE(all);
  CHECK(plan(14, all) == std::vector<std::string>{"later2"});
  CHECK(all);
}

TEST_CASE("jobs without capacity do not starve later jobs in short rounds",
          "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  for (int i = 0; i < 3; ++i) {
    fixture.Core().Submit(JobOf("large" + std::to_string(i), 1, 2 * kCapacity),
                          At(i));
  }
  fixture.Core().Submit(JobOf("small", 1, 1000), At(4));
  std::size_t started = 0;
  for (std::int64_t round = 1; round <= 4; ++round) {
    fixture.Core().Plan(At(5 + round), [] { return true; });
    fixture.Store(5 + round);
    started += fixture.Core().TakeOrders(At(5 + round)).starts.size();
  }
  CHECK(started == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
