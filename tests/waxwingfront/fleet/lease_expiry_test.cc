#include "waxwingfront/fleet/lease_expiry.h"

#include <catch2/catch.hpp>
#include <string>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCores = 8000;
// Longer than any lease at a clock that is 2 % slow.
constexpr std::int64_t kLapsedMs = 10'250;
// The same, from a take-over on while the leader before may still have led.
constexpr std::int64_t kInheritedLapsedMs = 12'100;
constexpr std::int64_t kInheritedMs = 12'000;
constexpr std::int64_t kSilentMs = 30'000;
constexpr int kAskedOften = 10;

// A task runs on `a`; `b` and `c` are there as well.
struct running {
  fleet_fixture scene;

  running() {
    scene.AddExecutor("a", kCores);
    scene.Core().Submit(JobOf("job", 1, 1000), At(0));
    scene.StepAccepted(10);
    scene.AddExecutor("b", kCores, 10);
    scene.AddExecutor("c", kCores, 10);
  }

  void Silence(const std::string& id, int holds) {
    for (int i = 0; i < holds; ++i) scene.Core().Runs().OnNoAnswer(id);
  }

  std::size_t StartsAt(std::int64_t at_ms) {
    scene.Core().Tick(At(at_ms));
    return scene.Step(at_ms).starts.size();
  }
};

TEST_CASE("a run is not repeated while its executor may tell how it ended",
          "[fleet]") {
  // A slow leader gives up the answer that lists the end.
  running one;
  SECTION("an answer is on its way") {}
  SECTION("a hold was given up") { one.Silence("a", 1); }
  SECTION("asked often, not yet for long") { one.Silence("a", kAskedOften); }
  CHECK(one.StartsAt(kLapsedMs) == 0);
}

TEST_CASE("a run is repeated once its executor has left and its lease lapsed",
          "[fleet]") {
  running one;
  one.scene.Core().RemoveExecutor("a");
  one.Silence("a", 1);
  CHECK(one.StartsAt(kLapsedMs) == 1);
}

TEST_CASE("a run is repeated when its executor alone stays silent for long",
          "[fleet]") {
  running one;
  one.Silence("a", kAskedOften);
  CHECK(one.StartsAt(kSilentMs) == 1);
}

TEST_CASE("a leader that hardly anybody answers gives no run up", "[fleet]") {
  running one;
  for (const char* const id : {"a", "b", "c"}) one.Silence(id, kAskedOften);
  one.scene.Core().Tick(At(kSilentMs));
  // Back in contact, but not with `a`.
  one.scene.Report("b", kSilentMs, {});
  CHECK(one.StartsAt(kSilentMs) == 0);
}

TEST_CASE("a leader that takes over late waits for executors that are there",
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
  after.Runs().on_over = [&over](const fleet::task_state&, fleet::run_fate,
                                 fleet::moment) { ++over; };
  after.Tick(At(1000 + kInheritedLapsedMs));
  CHECK(over == 0);
  after.RemoveExecutor("a");
  after.Tick(At(1000 + kInheritedMs));
  CHECK(over == 0);
  after.Tick(At(1000 + kInheritedLapsedMs));
  CHECK(over == 1);
}

TEST_CASE("a run that is not among the first 500 ends is not given up",
          "[fleet]") {
  running one;
  std::vector<fleet::ended_report> ends;
  for (std::uint64_t i = 1; i <= 500; ++i) {
    ends.push_back({.number = i, .task = {.job = "other"}, .run = 1});
  }
  one.scene.Report("a", 100, {}, ends);
  CHECK(one.StartsAt(110) == 0);
  one.scene.Report("a", 200, {}, {});
  CHECK(one.StartsAt(210) == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
