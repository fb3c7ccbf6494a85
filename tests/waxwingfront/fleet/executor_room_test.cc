#include "waxwingfront/fleet/executor_room.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using fleet::task_phase;

class room_scene {
 public:
  fleet::executor_state& AddExecutor(const std::string& id,
                                     std::int64_t cpu_millis) {
    fleet::executor_state& executor = state.executors[id];
    executor.info = {
        .id = id, .service = "s", .capacity = {.processor_milli = cpu_millis}};
    executor.registered = true;
    executor.reached = true;
    executor.in_contact = true;
    return executor;
  }

  // Adds a job's task in this phase to the executor.
  fleet::task_state& AddTask(fleet::executor_state& executor,
                             std::int64_t cpu_millis, bool long_running,
                             task_phase phase) {
    schema::fleet_job spec =
        JobOf("job" + std::to_string(state.jobs.size()), 1, cpu_millis);
    spec.mutable_steps(0)->set_long_running(long_running);
    fleet::job_state& job =
        state.AddJob(std::make_unique<fleet::job_state>(spec, At(0).now));
    fleet::task_state& task = *job.Find({.job = job.Id()});
    task.SetPhase(phase);
    executor.Add(task);
    return task;
  }

  fleet::fleet_state state;
};

// Guards against waits whose cause the log doesn't tell.
TEST_CASE("an executor's capacity is told by what it is committed to",
          "[fleet]") {
  room_scene scene;
  fleet::executor_state& executor = scene.AddExecutor("e", 32'000);
  scene.AddTask(executor, 6000, true, task_phase::kRunning);
  scene.AddTask(executor, 5000, true, task_phase::kStarting);
  scene.AddTask(executor, 4000, true, task_phase::kStopping);
  scene.AddTask(executor, 3000, false, task_phase::kRunning);
  const fleet::executor_room room = fleet::RoomOf(executor, At(0).now);
  CHECK(room.available);
  CHECK(room.free.processor_milli == 14'000);
  CHECK(room.long_running.processor_milli == 6000);
  CHECK(room.starting.processor_milli == 5000);
  CHECK(room.ending.processor_milli == 4000);
  CHECK(room.short_tasks.processor_milli == 3000);
}

TEST_CASE("the executors with the largest gaps for a task are told",
          "[fleet]") {
  room_scene scene;
  scene.AddExecutor("small", 2000);
  fleet::executor_state& middle = scene.AddExecutor("middle", 4000);
  scene.AddExecutor("large", 6000);
  scene.AddExecutor("leaving", 8000).info.draining = true;
  const fleet::task_state& task =
      scene.AddTask(middle, 1000, true, task_phase::kRunning);
  const auto gaps = fleet::LargestGaps(scene.state, task, "s", At(0).now,
                                       {.available = 2, .unavailable = 1});
  REQUIRE(gaps.size() == 3);
  CHECK(gaps[0].executor->info.id == "large");
  CHECK(gaps[1].executor->info.id == "middle");
  CHECK(gaps[2].executor->info.id == "leaving");
}

}  // namespace
}  // namespace waxwingfront::tests
