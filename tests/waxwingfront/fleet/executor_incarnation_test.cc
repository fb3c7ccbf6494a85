// What a leader may do on an executor that restarts under its id, possibly with
// other labels and another capacity.
#include <catch2/catch.hpp>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCores = 8000;
constexpr std::int64_t kRestartMs = 10'000;
constexpr std::int64_t kFirstBornMs = 1;
constexpr std::int64_t kSecondBornMs = 2;

// Executor `a` has the label that the job requires, until it restarts without
// it.
struct restarting_executor_scene {
  restarting_executor_scene() {
    Register(kFirstBornMs, {"wanted"});
    scene.Report("a", 0, {});
  }

  void Register(std::int64_t born_ms, std::vector<std::string> labels) {
    scene.Core().SetExecutor({.id = "a",
                              .born_ms = born_ms,
                              .address = "a",
                              .service = "s",
                              .capacity = {.processor_milli = kCores},
                              .labels = std::move(labels)});
  }

  void Submit(std::int64_t at_ms) {
    schema::fleet_job job = JobOf("job", 1, 1000);
    job.mutable_steps(0)->set_required_label("wanted");
    scene.Core().Submit(job, At(at_ms));
  }

  // Responds to a hold as the second incarnation.
  void ReportRestarted(std::int64_t at_ms) {
    scene.Core().OnHold("a", {.born_ms = kSecondBornMs, .clock_ms = 10},
                        At(at_ms).now, At(at_ms));
    scene.RecordLeases(at_ms);
  }

  // Plans and stores, without responses of the executor.
  std::size_t StartsAt(std::int64_t at_ms) {
    scene.RecordLeases(at_ms);
    scene.Core().Plan(At(at_ms));
    scene.Store(at_ms);
    return scene.Core().TakeOrders(At(at_ms)).starts.size();
  }

  fleet_fixture scene;
};

// Guards against starts on an executor whose labels are those of the entry that
// its previous incarnation wrote.
TEST_CASE("a restarted executor gets no task before its entry is current",
          "[fleet]") {
  restarting_executor_scene fixture;
  fixture.ReportRestarted(kRestartMs);
  fixture.Submit(kRestartMs);
  CHECK(fixture.StartsAt(kRestartMs + 10) == 0);
  SECTION("and none that the new entry rules out") {
    fixture.Register(kSecondBornMs, {"other"});
    CHECK(fixture.StartsAt(kRestartMs + 20) == 0);
  }
  SECTION("and then those that it permits") {
    fixture.Register(kSecondBornMs, {"wanted"});
    CHECK(fixture.StartsAt(kRestartMs + 20) == 1);
  }
}

// Guards against starts that reach another incarnation than the one that the
// leader knows, because idle executors are not held.
TEST_CASE("an idle executor is held before a task starts on it", "[fleet]") {
  restarting_executor_scene fixture;
  fixture.Submit(kRestartMs);
  CHECK(fixture.StartsAt(kRestartMs + 10) == 0);
  CHECK(fixture.scene.Core().NeedsHold("a"));
  SECTION("it is the same") {
    fixture.scene.Report("a", kRestartMs + 20, {});
    CHECK(fixture.scene.Core().TakeOrders(At(kRestartMs + 20)).starts.size() ==
          1);
  }
  SECTION("it has restarted") {
    fixture.ReportRestarted(kRestartMs + 20);
    CHECK(fixture.scene.Core().TakeOrders(At(kRestartMs + 20)).starts.empty());
    CHECK(fixture.StartsAt(kRestartMs + 30) == 0);
  }
  SECTION("it does not respond") {
    fixture.scene.Core().Runs().OnHoldFailed("a", At(kRestartMs + 20));
    CHECK(fixture.scene.Core().FindExecutor("a")->active.empty());
    CHECK(fixture.StartsAt(kRestartMs + 30) == 0);
  }
}

TEST_CASE("an executor whose entry is newer is held before it gets a task",
          "[fleet]") {
  restarting_executor_scene fixture;
  fixture.Register(kSecondBornMs, {"wanted"});
  fixture.Submit(100);
  CHECK(fixture.StartsAt(110) == 0);
  CHECK(fixture.scene.Core().NeedsHold("a"));
  fixture.ReportRestarted(120);
  CHECK(fixture.StartsAt(130) == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
