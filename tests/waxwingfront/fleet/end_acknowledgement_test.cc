// When executors may forget the ends of runs.
#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kTaskCores = 1000;
constexpr std::size_t kMaxRecords = 15;

// The run of one of two tasks has ended, and the write of that got no response.
struct unconfirmed_end_scene {
  unconfirmed_end_scene() {
    fixture.AddExecutor("a", kTaskCores);
    fixture.AddExecutor("b", kTaskCores);
    fixture.Core().Submit(JobOf("job", 2, kTaskCores), At(0));
    for (const fleet::start_order& start : fixture.StepAccepted(10).starts) {
      if (start.executor != "a") continue;
      end = {.number = 1,
             .task = start.task,
             .run = start.run,
             .how = fleet::run_end::kDone};
    }
    ReportEnd(1000);
    const fleet::write_batch write =
        fixture.Core().Journal().NextBatch(kMaxRecords);
    fixture.Core().Journal().Unanswered(write.number);
  }

  void ReportEnd(std::int64_t at_ms) { fixture.Report("a", at_ms, {}, {end}); }

  // The executor's entry lapses and is written again.
  void RegisterAgain() {
    const fleet::executor_info entry = fixture.Core().FindExecutor("a")->info;
    fixture.Core().RemoveExecutor("a");
    REQUIRE(fixture.Core().FindExecutor("a") == nullptr);
    fixture.Core().SetExecutor(entry);
  }

  std::uint64_t Acknowledged() {
    return fixture.Core().FindExecutor("a")->acknowledged;
  }

  fleet_fixture fixture;
  fleet::ended_report end;
};

TEST_CASE(
    "an end that is not stored is not acknowledged to an executor that was "
    "removed and registered again",
    "[fleet]") {
  unconfirmed_end_scene scene;
  scene.RegisterAgain();
  scene.ReportEnd(1100);
  CHECK(scene.Acknowledged() == 0);
  scene.fixture.Store(1200);
  CHECK(scene.Acknowledged() == 1);
}

// The successor knows of the end only from the store or from the executor.
TEST_CASE("a task does not run again after an end that was never stored",
          "[fleet]") {
  unconfirmed_end_scene scene;
  scene.RegisterAgain();
  scene.ReportEnd(1100);
  const bool forgotten = scene.Acknowledged() >= scene.end.number;

  schema::fleet_progress stored;
  stored.set_state(schema::FLEET_RUNNING);
  for (std::uint32_t index = 0; index < 2; ++index) {
    schema::fleet_task& task = *stored.add_tasks();
    task.set_index(index);
    task.set_run(1);
    task.set_active(true);
    task.set_executor(index == scene.end.task.index ? "a" : "b");
  }
  const fleet::executor_info entry =
      scene.fixture.Core().FindExecutor("a")->info;
  fleet_fixture successor;
  successor.Core().Restore(JobOf("job", 2, kTaskCores), 1, stored, 2, At(2000));
  successor.Core().SetExecutor(entry);
  successor.Report(
      "a", 2010, {},
      forgotten ? std::vector<fleet::ended_report>{} : std::vector{scene.end});
  for (const fleet::start_order& start : successor.Step(2020).starts) {
    CHECK(start.task.index != scene.end.task.index);
  }
}

}  // namespace
}  // namespace waxwingfront::tests
