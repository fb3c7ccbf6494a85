#include "waxwingfront/fleet/restart_stages.h"

#include <catch2/catch.hpp>
#include <map>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;
using fleet::load_stage;
using fleet::start_outcome;

constexpr std::int64_t kCores = 8000;

// A job whose first run has ended at 3000 ms, and the times that its next
// run spends in each stage.
struct interrupted_task {
  explicit interrupted_task(bool long_running = true) {
    scene.AddExecutor("a", kCores);
    scene.AddExecutor("b", kCores);
    Restarts().on_stage = [this](load_stage stage, auto took) {
      const auto ms = std::chrono::duration_cast<milliseconds>(took);
      stages[stage] = static_cast<int>(ms.count());
    };
    schema::fleet_job job = JobOf("job", 1, 1000);
    job.mutable_steps(0)->set_long_running(long_running);
    scene.Core().Submit(job, At(0));
    fleet::orders decided = scene.Step(10);
    // Long-running tasks are collected for a while before they are placed.
    if (long_running) decided = scene.Step(2000);
    first = decided.starts.at(0);
    Restarts().OnSendDecided(first, At(2005).now);
    scene.Core().OnStartResponse(first, start_outcome::kAccepted, At(2010));
    CHECK(stages.empty());
    scene.Report(first.executor, 3000, {},
                 {{.number = 1,
                   .task = first.task,
                   .run = first.run,
                   .how = fleet::run_end::kLapsed}});
  }

  fleet::restart_stages& Restarts() { return scene.Core().Runs().Restarts(); }

  // Places the task at 5000 ms and returns its start, possible at 5100 ms.
  fleet::start_order PlaceAgain() {
    scene.RecordLeases(5000);
    scene.Core().Plan(At(5000));
    scene.Report("a", 5050, {});
    scene.Report("b", 5050, {});
    scene.Store(5100);
    return scene.Core().TakeOrders(At(5100)).starts.at(0);
  }

  fleet_fixture scene;
  fleet::start_order first;
  std::map<load_stage, int> stages;
};

TEST_CASE("the way of an interrupted task to its next run is measured by stage",
          "[fleet]") {
  interrupted_task task;
  const fleet::start_order again = task.PlaceAgain();
  CHECK(again.run == 2);
  task.Restarts().OnSendDecided(again, At(5400).now);
  CHECK(task.stages ==
        std::map<load_stage, int>{{load_stage::kRestartWait, 2000},
                                  {load_stage::kRestartStore, 100},
                                  {load_stage::kRestartSend, 300}});
  SECTION("until the start is accepted") {
    task.scene.Core().OnStartResponse(again, start_outcome::kAccepted,
                                      At(5450));
    CHECK(task.stages.at(load_stage::kRestartConfirm) == 50);
  }
  SECTION("until the executor lists the run") {
    task.scene.Report(again.executor, 5500,
                      {{.task = again.task, .run = again.run}});
    task.scene.Core().OnStartResponse(again, start_outcome::kAccepted,
                                      At(5550));
    CHECK(task.stages.at(load_stage::kRestartConfirm) == 100);
  }
  SECTION("not if the start is rejected") {
    task.scene.Core().OnStartResponse(again, start_outcome::kNoCapacity,
                                      At(5450));
    CHECK_FALSE(task.stages.contains(load_stage::kRestartConfirm));
  }
}

TEST_CASE("a late decision on a start of an earlier run is not measured",
          "[fleet]") {
  interrupted_task task;
  task.PlaceAgain();
  task.Restarts().OnSendDecided(task.first, At(5400).now);
  CHECK_FALSE(task.stages.contains(load_stage::kRestartSend));
}

TEST_CASE("runs of short tasks are not measured", "[fleet]") {
  interrupted_task task(false);
  const fleet::start_order again = task.PlaceAgain();
  task.Restarts().OnSendDecided(again, At(5400).now);
  task.scene.Core().OnStartResponse(again, start_outcome::kAccepted, At(5450));
  CHECK(task.stages.empty());
}

TEST_CASE("a wait whose begin an earlier leader saw is not measured",
          "[fleet]") {
  fleet_fixture scene;
  std::map<load_stage, int> stages;
  scene.Core().Runs().Restarts().on_stage = [&stages](load_stage stage, auto) {
    ++stages[stage];
  };
  scene.AddExecutor("a", kCores);
  schema::fleet_job job = JobOf("job", 1, 1000);
  job.mutable_steps(0)->set_long_running(true);
  schema::fleet_progress progress;
  progress.set_state(schema::FLEET_RUNNING);
  progress.add_tasks()->set_run(4);
  scene.Core().Restore(job, 1, progress, 1, At(0));
  REQUIRE(scene.Step(100).starts.size() == 1);
  CHECK(stages == std::map<load_stage, int>{{load_stage::kRestartStore, 1}});
}

TEST_CASE("a run that an earlier leader started is not measured", "[fleet]") {
  fleet_fixture scene;
  int stages = 0;
  scene.Core().Runs().Restarts().on_stage = [&stages](auto, auto) { ++stages; };
  schema::fleet_job job = JobOf("job", 1, 1000);
  job.mutable_steps(0)->set_long_running(true);
  schema::fleet_progress progress;
  progress.set_state(schema::FLEET_RUNNING);
  schema::fleet_task& task = *progress.add_tasks();
  task.set_run(4);
  task.set_active(true);
  task.set_executor("a");
  scene.Core().Restore(job, 1, progress, 1, At(0));
  scene.AddExecutor("a", kCores);
  scene.Report("a", 100, {{.task = {.job = "job"}, .run = 4}});
  CHECK(stages == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
