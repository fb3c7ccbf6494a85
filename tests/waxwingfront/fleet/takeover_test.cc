// What a new leader does about the runs in the records that it has read.
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::uint32_t kTasks = 40;
constexpr std::size_t kMaxRecords = 30;

// A leader that took over with the record of one cancelled job, which lists all
// tasks as active on one executor.
struct cancelled_job_scene {
  cancelled_job_scene() : core({}) {
    core.SetManifest(ManifestOf({{}}));
    core.SetExecutor({.id = "a",
                      .address = "a",
                      .service = "s",
                      .capacity = {.processor_milli = 64'000}});
    schema::fleet_progress progress;
    progress.set_state(schema::FLEET_CANCELLED);
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      schema::fleet_task& task = *progress.add_tasks();
      task.set_index(i);
      task.set_run(1);
      task.set_active(true);
      task.set_executor("a");
    }
    core.Restore(JobOf("job", kTasks, 1000), 1, progress, 1, At(0));
    core.FinishRestore(At(0));
  }

  fleet::fleet_core core;
};

// Guards against thousands of stops at once, for runs that have ended long ago,
// while the first holds wait for connections.
TEST_CASE("a new leader sends no stops before the executors have reported",
          "[fleet]") {
  cancelled_job_scene scene;
  scene.core.Tick(At(10));
  CHECK(scene.core.TakeOrders(At(10)).stops.empty());
}

TEST_CASE("a new leader stops the runs of final jobs that are reported",
          "[fleet]") {
  cancelled_job_scene scene;
  scene.core.OnHold(
      "a",
      {.born_ms = 1,
       .clock_ms = 20,
       .running = {{.task = {.job = "job", .index = 7}, .run = 1}}},
      At(10).now, At(20));
  const fleet::orders decided = scene.core.TakeOrders(At(20));
  REQUIRE(decided.stops.size() == 1);
  CHECK(decided.stops[0].task.index == 7);
  // The others are over.
  const fleet::executor_state& executor = *scene.core.FindExecutor("a");
  CHECK(executor.active.size() == 1);
  CHECK(executor.used.processor_milli == 1000);
  // The stop is repeated until it is confirmed.
  scene.core.Tick(At(10'000));
  CHECK(scene.core.TakeOrders(At(10'000)).stops.size() == 1);
}

// Guards against reading a freed job, which ended each new leader in turn.
TEST_CASE("a new leader keeps no ended job whose records it has removed",
          "[fleet]") {
  cancelled_job_scene scene;
  fleet::fleet_core& core = scene.core;
  core.Restore(JobOf("new", 1, 1000), 2, std::nullopt, 0, At(0));
  // The cancelled job is live until the executor has reported its runs.
  core.OnHold("a", {.born_ms = 1, .clock_ms = 20}, At(10).now, At(20));
  CHECK(core.Levels().live_jobs == 2);
  core.Tick(At(160'000));
  // Nothing is planned before the leader's bounds on leases are stored.
  REQUIRE(core.Plan(At(160'000)));
  const fleet::write_batch removal = core.Journal().NextBatch(kMaxRecords);
  REQUIRE(removal.records.size() == 2);
  REQUIRE(removal.records[0].remove);
  core.Journal().Stored(removal.number, 3, At(160'010));
  REQUIRE_FALSE(core.HasJob("job"));
  CHECK(core.Levels().live_jobs == 1);
}

TEST_CASE("a leader whose clock is ahead keeps ended jobs for their whole time",
          "[fleet]") {
  cancelled_job_scene scene;
  fleet::fleet_core& core = scene.core;
  core.OnHold("a", {.born_ms = 1, .clock_ms = 20}, At(10).now, At(20));
  fleet::moment ahead = At(100'000);
  ahead.unix_ms += 3'600'000;
  core.Tick(ahead);
  CHECK(core.Journal().NextBatch(kMaxRecords).records.empty());
  ahead.now = At(160'000).now;
  core.Tick(ahead);
  CHECK(core.Journal().NextBatch(kMaxRecords).records.size() == 2);
}

}  // namespace
}  // namespace waxwingfront::tests
