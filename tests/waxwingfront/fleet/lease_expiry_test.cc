#include "waxwingfront/fleet/lease_expiry.h"

#include <catch2/catch.hpp>
#include <string>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCores = 8000;
// Longer than any lease on a clock that is 2 % slow.
constexpr std::int64_t kLapsedMs = 10'250;
// The same, counted from a leader change after which the former leader may
// still have led for a while.
constexpr std::int64_t kFormerLeaseLapsedMs = 12'100;
constexpr std::int64_t kFormerLeaseMs = 12'000;
constexpr std::int64_t kSilentMs = 30'000;
constexpr int kManyHolds = 10;

// A task runs on `a`; `b` and `c` are registered as well.
struct running_task_scene {
  fleet_fixture scene;

  running_task_scene() {
    scene.AddExecutor("a", kCores);
    scene.Core().Submit(JobOf("job", 1, 1000), At(0));
    scene.StepAccepted(10);
    scene.AddExecutor("b", kCores, 10);
    scene.AddExecutor("c", kCores, 10);
  }

  void FailHolds(const std::string& id, int holds) {
    for (int i = 0; i < holds; ++i)
      scene.Core().Runs().OnHoldFailed(id, At(20));
  }

  std::size_t StartsAt(std::int64_t at_ms) {
    scene.Core().Tick(At(at_ms));
    return scene.Step(at_ms).starts.size();
  }
};

TEST_CASE("a run is not repeated while its executor may still report its end",
          "[fleet]") {
  // A slow leader may miss the response that reports the end.
  running_task_scene fixture;
  SECTION("a response is in flight") {}
  SECTION("a hold failed") { fixture.FailHolds("a", 1); }
  SECTION("many holds failed, within a short time") {
    fixture.FailHolds("a", kManyHolds);
  }
  CHECK(fixture.StartsAt(kLapsedMs) == 0);
}

TEST_CASE("a run is repeated once its executor has left and its lease lapsed",
          "[fleet]") {
  running_task_scene fixture;
  fixture.scene.Core().RemoveExecutor("a");
  fixture.FailHolds("a", 1);
  CHECK(fixture.StartsAt(kLapsedMs) == 1);
}

// Guards against lost long-running tasks that wait behind the short tasks that
// arrive meanwhile.
TEST_CASE("a long-running task of a lost executor goes before short tasks",
          "[fleet]") {
  // More than half of an executor's capacity.
  constexpr std::int64_t kTaskMillis = kCores * 5 / 8;
  fleet_fixture scene;
  scene.AddExecutor("a", kCores);
  schema::fleet_job lasting = JobOf("lasting", 1, kTaskMillis);
  lasting.mutable_steps(0)->set_long_running(true);
  lasting.mutable_steps(0)->set_image("image");
  scene.Core().Submit(lasting, At(0));
  // Long-running tasks are placed only after they have been compared for a
  // while.
  scene.Step(10);
  REQUIRE(scene.StepAccepted(1000).starts.size() == 1);
  scene.Core().RemoveExecutor("a");
  scene.Core().Runs().OnHoldFailed("a", At(2000));
  scene.Core().Tick(At(kLapsedMs));
  scene.AddExecutor("b", kCores, kLapsedMs);
  scene.Core().Submit(JobOf("short", 1, kTaskMillis), At(kLapsedMs));
  const fleet::orders decided = scene.Step(kLapsedMs + 10);
  REQUIRE(decided.starts.size() == 1);
  CHECK(decided.starts[0].task.job == "lasting");
}

// Guards against a lease that is forgotten with its executor's state while the
// executor's entry is away.
TEST_CASE("an executor whose entry comes back keeps its earlier lease",
          "[fleet]") {
  // After the leases of earlier leaders.
  constexpr std::int64_t kLeaseMs = 20'000;
  fleet_fixture scene;
  scene.AddExecutor("a", kCores, kLeaseMs);
  const auto lease = scene.Core().Deadlines().ForHold(
      *scene.Core().FindExecutor("a"), At(kLeaseMs).now);
  REQUIRE(lease);
  scene.Core().RemoveExecutor("a");
  REQUIRE(scene.Core().FindExecutor("a") == nullptr);
  scene.AddExecutor("a", kCores, kLeaseMs + 1000);
  CHECK(scene.Core().FindExecutor("a")->deadline_sent_ms >= *lease);
}

TEST_CASE("a run is repeated if only its own executor stays silent for long",
          "[fleet]") {
  running_task_scene fixture;
  fixture.FailHolds("a", kManyHolds);
  CHECK(fixture.StartsAt(kSilentMs) == 1);
}

TEST_CASE("a leader that reaches too few executors abandons no run",
          "[fleet]") {
  running_task_scene fixture;
  for (const char* const id : {"a", "b", "c"})
    fixture.FailHolds(id, kManyHolds);
  fixture.scene.Core().Tick(At(kSilentMs));
  // In contact again, but not with `a`.
  fixture.scene.Report("b", kSilentMs, {});
  CHECK(fixture.StartsAt(kSilentMs) == 0);
}

TEST_CASE("a leader that takes over late waits for registered executors",
          "[fleet]") {
  fleet_fixture before;
  before.AddExecutor("a", kCores);
  before.Core().Submit(JobOf("job", 1, 1000), At(0));
  before.StepAccepted(10);
  fleet::fleet_core after({});
  after.SetManifest(ManifestOf({{}}));
  after.SetExecutor({.id = "a", .address = "a", .service = "s"});
  schema::fleet_job job = JobOf("job", 1, 1000);
  schema::fleet_progress progress;
  progress.set_state(schema::FLEET_RUNNING);
  schema::fleet_task& task = *progress.add_tasks();
  task.set_run(1);
  task.set_active(true);
  task.set_executor("a");
  after.Restore(job, 1, progress, 1, At(1000));
  after.FinishRestore(At(1000));
  int over = 0;
  after.Runs().on_run_ended = [&over](const fleet::task_state&,
                                      fleet::run_outcome,
                                      fleet::moment) { ++over; };
  after.Tick(At(1000 + kFormerLeaseLapsedMs));
  CHECK(over == 0);
  after.RemoveExecutor("a");
  after.Tick(At(1000 + kFormerLeaseMs));
  CHECK(over == 0);
  after.Tick(At(1000 + kFormerLeaseLapsedMs));
  CHECK(over == 1);
}

TEST_CASE(
    "a run that is missing from a full report of 500 ends is not abandoned",
    "[fleet]") {
  running_task_scene fixture;
  std::vector<fleet::ended_report> ends;
  for (std::uint64_t i = 1; i <= 500; ++i) {
    ends.push_back({.number = i, .task = {.job = "other"}, .run = 1});
  }
  fixture.scene.Report("a", 100, {}, ends);
  CHECK(fixture.StartsAt(110) == 0);
  fixture.scene.Report("a", 200, {}, {});
  CHECK(fixture.StartsAt(210) == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
