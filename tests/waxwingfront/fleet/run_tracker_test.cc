#include "waxwingfront/fleet/run_tracker.h"

#include <catch2/catch.hpp>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using fleet::start_outcome;

constexpr std::int64_t kCores = 8000;
constexpr std::size_t kMaxRecords = 15;

struct started_job_scene {
  fleet_fixture scene;
  fleet::start_order start;

  started_job_scene() {
    scene.AddExecutor("a", kCores);
    scene.Core().Submit(JobOf("job", 1, 1000), At(0));
    start = scene.Step(10).starts.at(0);
  }
};

TEST_CASE(
    "an unanswered start is stopped and not repeated before it is known to "
    "be over",
    "[fleet]") {
  started_job_scene fixture;
  fleet_fixture& scene = fixture.scene;
  scene.AddExecutor("b", kCores, 10);
  const auto outcome =
      GENERATE(start_outcome::kUnknown, start_outcome::kUnclear);
  scene.Core().OnStartResponse(fixture.start, outcome, At(400));
  const fleet::orders after = scene.Step(410);
  CHECK(after.starts.empty());
  REQUIRE(after.stops.size() == 1);
  CHECK(after.stops[0].run == fixture.start.run);

  SECTION("a confirmed stop alone is not enough") {
    scene.Core().Runs().OnStopResponse(after.stops[0], true, At(420));
    CHECK(scene.Step(430).starts.empty());
  }
  SECTION("a hold sent before the stop was confirmed is not enough") {
    scene.Core().Runs().OnStopResponse(after.stops[0], true, At(420));
    scene.Core().OnHold("a", {.born_ms = 1, .clock_ms = 425}, At(415).now,
                        At(425));
    CHECK(scene.Step(430).starts.empty());
  }
  SECTION("a later hold without the run ends it") {
    scene.Core().Runs().OnStopResponse(after.stops[0], true, At(420));
    scene.Report("a", 440, {});
    const fleet::orders again = scene.Step(450);
    REQUIRE(again.starts.size() == 1);
    CHECK(again.starts[0].run == fixture.start.run + 1);
  }
  SECTION("a delayed start that is reported later is stopped as well") {
    scene.Core().Runs().OnStopResponse(after.stops[0], true, At(420));
    scene.Report("a", 440,
                 {{.task = fixture.start.task, .run = fixture.start.run}});
    CHECK(scene.Step(450).starts.empty());
  }
}

TEST_CASE(
    "an executor without contact keeps its runs until its lease has "
    "surely lapsed",
    "[fleet]") {
  started_job_scene fixture;
  fleet_fixture& scene = fixture.scene;
  scene.AddExecutor("b", kCores, 10);
  scene.Core().OnStartResponse(fixture.start, start_outcome::kAccepted, At(20));
  fleet::executor_state& executor = *scene.Core().FindExecutor("a");
  executor.deadline_sent_ms = 7000;
  scene.Core().RemoveExecutor("a");
  scene.Core().Runs().OnHoldFailed("a", At(20));
  scene.Core().Tick(At(7050));
  CHECK(scene.Step(7050).starts.empty());
  // A clock that is 2 % slow reaches 7000 after 7143 ms.
  scene.Core().Tick(At(7200));
  REQUIRE(scene.Step(7200).starts.size() == 1);
}

TEST_CASE("runs of a new incarnation lapse only after the longest hold",
          "[fleet]") {
  // The new incarnation shortens a deadline that was computed for its
  // predecessor's clock to its longest hold.
  started_job_scene fixture;
  fleet_fixture& scene = fixture.scene;
  scene.AddExecutor("b", kCores, 10);
  scene.Core().OnHold("a",
                      {.born_ms = 2,
                       .clock_ms = 0,
                       .running = {{.task = fixture.start.task, .run = 1}}},
                      At(20).now, At(20));
  scene.Core().RemoveExecutor("a");
  scene.Core().Runs().OnHoldFailed("a", At(20));
  // A clock that is 2 % slow reaches 10'000 after 10'205 ms.
  scene.Core().Tick(At(20 + 10'200));
  CHECK(scene.Step(20 + 10'200).starts.empty());
  scene.Core().Tick(At(20 + 10'210));
  CHECK(scene.Step(20 + 10'210).starts.size() == 1);
}

TEST_CASE("an end is acknowledged only once it is stored", "[fleet]") {
  started_job_scene fixture;
  fleet_fixture& scene = fixture.scene;
  scene.Core().OnStartResponse(fixture.start, start_outcome::kAccepted, At(20));
  scene.Report("a", 1000, {},
               {{.number = 1,
                 .task = fixture.start.task,
                 .run = fixture.start.run,
                 .how = fleet::run_end::kDone}});
  CHECK(scene.Core().FindExecutor("a")->acknowledged == 0);
  CHECK(scene.Core().StoredState("job") == schema::FLEET_RUNNING);
  scene.Store(1010);
  CHECK(scene.Core().FindExecutor("a")->acknowledged == 1);
  CHECK(scene.Core().StoredState("job") == schema::FLEET_COMPLETED);
}

TEST_CASE("a job fails after as many failed runs as its queue permits",
          "[fleet]") {
  started_job_scene fixture;
  fleet_fixture& scene = fixture.scene;
  fleet::start_order start = fixture.start;
  for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
    const auto now = static_cast<std::int64_t>(attempt) * 3000;
    scene.Core().OnStartResponse(start, start_outcome::kAccepted, At(now));
    scene.Report("a", now + 10, {},
                 {{.number = attempt,
                   .task = start.task,
                   .run = start.run,
                   .how = fleet::run_end::kFailed}});
    const fleet::orders next = scene.Step(now + 20);
    CHECK(next.starts.size() == (attempt < 3 ? 1 : 0));
    if (!next.starts.empty()) start = next.starts[0];
  }
  CHECK(scene.Core().StoredState("job") == schema::FLEET_FAILED);
}

// Guards against a task that is started for ever because the limit was looked
// up in the present manifest only.
TEST_CASE("a removed queue still limits the failed runs of its jobs",
          "[fleet]") {
  started_job_scene fixture;
  fleet_fixture& scene = fixture.scene;
  fleet::manifest without_queue;
  without_queue.version = 2;
  scene.Core().SetManifest(without_queue);
  fleet::start_order start = fixture.start;
  for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
    const auto now = static_cast<std::int64_t>(attempt) * 3000;
    scene.Core().OnStartResponse(start, start_outcome::kAccepted, At(now));
    scene.Report("a", now + 10, {},
                 {{.number = attempt,
                   .task = start.task,
                   .run = start.run,
                   .how = fleet::run_end::kFailed}});
    const fleet::orders next = scene.Step(now + 20);
    REQUIRE(next.starts.size() == (attempt < 3 ? 1 : 0));
    if (!next.starts.empty()) start = next.starts[0];
  }
  CHECK(scene.Core().StoredState("job") == schema::FLEET_FAILED);
}

// The same for a leader that has loaded the job and not yet the manifest.
TEST_CASE("a leader without a manifest limits failed runs", "[fleet]") {
  fleet_fixture before;
  before.Core().Submit(JobOf("job", 1, 1000), At(0));
  const fleet::write_batch batch =
      before.Core().Journal().NextBatch(kMaxRecords);
  REQUIRE(batch.records.size() == 1);
  schema::fleet_job job;
  REQUIRE(job.ParseFromString(batch.records[0].value));
  schema::fleet_progress progress;
  progress.set_state(schema::FLEET_RUNNING);
  schema::fleet_task& task = *progress.add_tasks();
  task.set_run(3);
  task.set_failures(2);
  task.set_active(true);
  task.set_executor("a");
  fleet::fleet_core after({});
  after.SetExecutor({.id = "a", .address = "a", .service = "s"});
  after.Restore(job, 1, progress, 1, At(1000));
  after.FinishRestore(At(1000));
  after.OnHold("a",
               {.born_ms = 1,
                .clock_ms = 1100,
                .ended = {{.number = 1,
                           .task = {.job = "job"},
                           .run = 3,
                           .how = fleet::run_end::kFailed}}},
               At(1100).now, At(1100));
  const fleet::write_batch end = after.Journal().NextBatch(kMaxRecords);
  REQUIRE(end.records.size() == 1);
  REQUIRE(progress.ParseFromString(end.records[0].value));
  CHECK(progress.state() == schema::FLEET_FAILED);
}

TEST_CASE("lapsed, stopped and lost runs do not count as attempts", "[fleet]") {
  started_job_scene fixture;
  fleet_fixture& scene = fixture.scene;
  fleet::start_order start = fixture.start;
  for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
    const auto now = static_cast<std::int64_t>(attempt) * 3000;
    scene.Core().OnStartResponse(start, start_outcome::kAccepted, At(now));
    scene.Report("a", now + 10, {},
                 {{.number = attempt,
                   .task = start.task,
                   .run = start.run,
                   .how = fleet::run_end::kLapsed}});
    const fleet::orders next = scene.Step(now + 20);
    REQUIRE(next.starts.size() == 1);
    start = next.starts[0];
  }
}

TEST_CASE("a cancelled job is stopped and starts nothing more", "[fleet]") {
  started_job_scene fixture;
  fleet_fixture& scene = fixture.scene;
  scene.Core().OnStartResponse(fixture.start, start_outcome::kAccepted, At(20));
  CHECK(scene.Core().Cancel("job", At(100)));
  const fleet::orders after = scene.Step(110);
  CHECK(after.starts.empty());
  REQUIRE(after.stops.size() == 1);
  CHECK(scene.Core().StoredState("job") == schema::FLEET_CANCELLED);
  scene.Report("a", 200, {},
               {{.number = 1,
                 .task = fixture.start.task,
                 .run = fixture.start.run,
                 .how = fleet::run_end::kStopped}});
  CHECK(scene.Step(210).starts.empty());
}

TEST_CASE("an executor that reports an unknown run is ordered to stop it",
          "[fleet]") {
  fleet_fixture scene;
  scene.AddExecutor("a", kCores);
  scene.Report("a", 100, {{.task = {.job = "unknown"}, .run = 4}});
  const fleet::orders after = scene.Step(110);
  REQUIRE(after.stops.size() == 1);
  CHECK(after.stops[0].run == 4);
}

TEST_CASE("a response from another executor ends no later run", "[fleet]") {
  started_job_scene fixture;
  fleet_fixture& scene = fixture.scene;
  int over = 0;
  scene.Core().Runs().on_run_ended = [&over](const fleet::task_state&,
                                             fleet::run_outcome,
                                             fleet::moment) { ++over; };
  const auto report_other_incarnation = [&scene](std::string_view address,
                                                 std::int64_t sent_ms) {
    scene.Core().Runs().OnOtherIncarnation(
        "a", {.address = address, .sent = At(sent_ms).now}, At(1000));
  };
  report_other_incarnation("a", 5);
  CHECK(over == 0);
  scene.Core().OnStartResponse(fixture.start, start_outcome::kAccepted, At(20));
  report_other_incarnation("a", 15);
  CHECK(over == 0);
  report_other_incarnation("another", 30);
  CHECK(over == 0);
  SECTION("a run that was confirmed before the hold is over") {
    report_other_incarnation("a", 30);
    CHECK(over == 1);
  }
  SECTION("a run that was ordered to stop before the hold is over") {
    scene.Core().Cancel("job", At(40));
    report_other_incarnation("a", 35);
    CHECK(over == 0);
    report_other_incarnation("a", 45);
    CHECK(over == 1);
  }
}

TEST_CASE("a job whose starts were all refused still counts as waiting",
          "[fleet]") {
  fleet_fixture scene;
  scene.AddExecutor("a", 8000);
  scene.Core().Submit(JobOf("job", 1, 1000), At(0));
  const fleet::orders orders = scene.Step(10);
  REQUIRE(orders.starts.size() == 1);
  CHECK(scene.Core().CountUnstartedJobs("q") == 1);
  scene.Core().OnStartResponse(orders.starts[0],
                               fleet::start_outcome::kNoCapacity, At(20));
  CHECK(scene.Core().CountUnstartedJobs("q") == 1);
  REQUIRE(scene.StepAccepted(1000).starts.size() == 1);
  CHECK(scene.Core().CountUnstartedJobs("q") == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
