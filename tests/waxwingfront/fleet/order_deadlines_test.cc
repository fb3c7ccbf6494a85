#include "waxwingfront/fleet/order_deadlines.h"

#include <catch2/catch.hpp>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCores = 8000;
constexpr std::int64_t kHoldLeaseMs = 7000;
constexpr std::int64_t kDrainBoundMs = 2000;

// One task whose start has been decided on but not sent.
struct decided_start_scene {
  fleet_fixture scene{
      {{}},
      {.deadlines = {.hold_lease = core::milliseconds(kHoldLeaseMs),
                     .drain_bound = core::milliseconds(kDrainBoundMs)}}};
  fleet::start_order start;

  decided_start_scene() {
    scene.AddExecutor("a", kCores);
    scene.Core().ConfirmEntries(At(0).now);
    scene.Core().Submit(JobOf("job", 1, 1000), At(0));
    start = scene.Step(10).starts.at(0);
  }

  fleet::executor_state& Executor() { return *scene.Core().FindExecutor("a"); }
  std::optional<std::int64_t> Deadline(std::int64_t at_ms) {
    return scene.Core().Deadlines().ForStart(start, At(at_ms).now);
  }
};

TEST_CASE(
    "reading a response late does not lengthen the lease of the next hold",
    "[fleet]") {
  decided_start_scene fixture;
  // Sent at 100 ms, response sent at 2100 ms and read at 6000 ms.
  fixture.scene.Core().OnHold("a", {.born_ms = 1, .clock_ms = 2100},
                              At(100).now, At(6000));
  fixture.scene.RecordLeases(6000);
  CHECK(fixture.scene.Core().Deadlines().ForHold(
            fixture.Executor(), At(6000).now) == 2100 + kHoldLeaseMs);
  fixture.scene.RecordLeases(7000);
  // A clock that is 2 % slow shows 3080 another second later.
  CHECK(fixture.scene.Core().Deadlines().ForHold(
            fixture.Executor(), At(7000).now) == 3080 + kHoldLeaseMs);
}

TEST_CASE("a start expires before its executor may have drained for the bound",
          "[fleet]") {
  decided_start_scene fixture;
  const auto deadline = fixture.Deadline(500);
  REQUIRE(deadline);
  // Another leader may have been notified of the drain just after 0 ms.
  CHECK(*deadline <= kDrainBoundMs);
  CHECK(*deadline > 1500);
  fixture.scene.Report("a", kDrainBoundMs - 100, {});
  CHECK_FALSE(fixture.Deadline(kDrainBoundMs));
  fixture.scene.Core().ConfirmEntries(At(1900).now);
  CHECK(fixture.Deadline(kDrainBoundMs));
}

TEST_CASE("nothing is placed while the executors' entries are out of date",
          "[fleet]") {
  decided_start_scene fixture;
  fixture.scene.Core().Submit(JobOf("next", 1, 1000), At(1800));
  CHECK(fixture.scene.Step(1800).starts.empty());
  fixture.scene.Core().ConfirmEntries(At(1700).now);
  CHECK(fixture.scene.Step(1810).starts.size() == 1);
}

TEST_CASE(
    "a decided start is held back after a cancellation, drain or departure",
    "[fleet]") {
  decided_start_scene fixture;
  REQUIRE(fixture.Deadline(20));
  SECTION("its job is cancelled, which is not stored yet") {
    fixture.scene.Core().Cancel("job", At(30));
  }
  SECTION("its executor drains") {
    fleet::executor_info info = fixture.Executor().info;
    info.draining = true;
    fixture.scene.Core().SetExecutor(info);
  }
  SECTION("its executor is no longer registered") {
    fixture.scene.Core().RemoveExecutor("a");
  }
  CHECK_FALSE(fixture.Deadline(40));
}

TEST_CASE("a start held back is placed again and leaves its executor usable",
          "[fleet]") {
  decided_start_scene fixture;
  fixture.scene.Core().OnStartResponse(fixture.start,
                                       fleet::start_outcome::kNotSent, At(20));
  const fleet::orders again = fixture.scene.Step(30);
  REQUIRE(again.starts.size() == 1);
  CHECK(again.starts[0].run == fixture.start.run + 1);
}

// Guards against starts on the clock, and acknowledgements of ends, of an
// earlier incarnation.
TEST_CASE(
    "an executor that may have restarted gets no start and no acknowledgement",
    "[fleet]") {
  decided_start_scene fixture;
  fixture.scene.Core().ConfirmEntries(At(9000).now);
  fixture.scene.RecordLeases(9000);
  fixture.Executor().acknowledged = 40;
  REQUIRE(fixture.Executor().ForgettableEnd(At(20).now) == 40);
  REQUIRE(fixture.Deadline(20));
  // No hold was sent to the executor for 9 s, so it may have restarted.
  CHECK_FALSE(fixture.Deadline(9000));
  CHECK_FALSE(fixture.scene.Core().Deadlines().ForHold(fixture.Executor(),
                                                       At(9000).now));
  CHECK(fixture.Executor().ForgettableEnd(At(9000).now) == 0);
  // A response that was on its way for long tells nothing about the present.
  fixture.scene.Core().OnHold("a", {.born_ms = 1, .clock_ms = 6995},
                              At(6990).now, At(9010));
  CHECK_FALSE(fixture.Deadline(9020));
  CHECK(fixture.Executor().ForgettableEnd(At(9020).now) == 0);
  fixture.scene.Report("a", 9050,
                       {{.task = fixture.start.task,
                         .run = fixture.start.run,
                         .checkpoint = {}}});
  CHECK(fixture.Executor().ForgettableEnd(At(9060).now) == 40);
}

}  // namespace
}  // namespace waxwingfront::tests
