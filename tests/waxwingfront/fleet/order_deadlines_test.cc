#include "waxwingfront/fleet/order_deadlines.h"

#include <catch2/catch.hpp>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCores = 8000;
constexpr std::int64_t kReachMs = 7000;
constexpr std::int64_t kDrainMs = 2000;

// One task whose start is decided and not sent.
struct decided {
  fleet_fixture scene{
      {{}},
      {.deadlines = {.hold_reach = core::milliseconds(kReachMs),
                     .drain_bound = core::milliseconds(kDrainMs)}}};
  fleet::start_order start;

  decided() {
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

TEST_CASE("a hold whose answer is read late leases no longer than its reach",
          "[fleet]") {
  decided one;
  // Sent at 100 ms, answered at 2100 ms, read at 6000 ms.
  one.scene.Core().OnHold("a", {.born_ms = 1, .clock_ms = 2100}, At(100).now,
                          At(6000));
  CHECK(one.scene.Core().Deadlines().ForHold(one.Executor(), At(6000).now) ==
        2100 + kReachMs);
  // A clock that is 2 % slow shows 3080 another second later.
  CHECK(one.scene.Core().Deadlines().ForHold(one.Executor(), At(7000).now) ==
        3080 + kReachMs);
}

TEST_CASE("a start dies before the executor may have drained for the bound",
          "[fleet]") {
  decided one;
  const auto deadline = one.Deadline(500);
  REQUIRE(deadline);
  // Another leader may have been told of it just after 0 ms.
  CHECK(*deadline <= kDrainMs);
  CHECK(*deadline > 1500);
  CHECK_FALSE(one.Deadline(kDrainMs));
  one.scene.Core().ConfirmEntries(At(1900).now);
  CHECK(one.Deadline(kDrainMs));
}

TEST_CASE("nothing is placed while the executors' entries are old", "[fleet]") {
  decided one;
  one.scene.Core().Submit(JobOf("next", 1, 1000), At(1800));
  CHECK(one.scene.Step(1800).starts.empty());
  one.scene.Core().ConfirmEntries(At(1700).now);
  CHECK(one.scene.Step(1810).starts.size() == 1);
}

TEST_CASE("a decided start is held back once it is not wanted any more",
          "[fleet]") {
  decided one;
  REQUIRE(one.Deadline(20));
  SECTION("its job is cancelled, and the store does not know yet") {
    one.scene.Core().Cancel("job", At(30));
  }
  SECTION("its executor drains") {
    fleet::executor_info info = one.Executor().info;
    info.draining = true;
    one.scene.Core().SetExecutor(info);
  }
  SECTION("its executor has left") { one.scene.Core().RemoveExecutor("a"); }
  CHECK_FALSE(one.Deadline(40));
}

TEST_CASE("a start held back is placed again and leaves its executor usable",
          "[fleet]") {
  decided one;
  one.scene.Core().OnStartResponse(one.start, fleet::start_outcome::kNotSent,
                                   At(20));
  const fleet::orders again = one.scene.Step(30);
  REQUIRE(again.starts.size() == 1);
  CHECK(again.starts[0].run == one.start.run + 1);
}

TEST_CASE("a new incarnation that got a start is not told to forget its end",
          "[fleet]") {
  decided one;
  one.scene.Core().ConfirmEntries(At(9000).now);
  one.Executor().acknowledged = 40;
  REQUIRE(one.Executor().ForgettableEnd() == 40);
  // The executor was not asked for 9 s and may have restarted.
  REQUIRE(one.Deadline(9000));
  CHECK(one.Executor().ForgettableEnd() == 0);
  one.scene.Core().OnHold("a", {.born_ms = 1, .clock_ms = 8995}, At(8990).now,
                          At(9010));
  CHECK(one.Executor().ForgettableEnd() == 0);
  one.scene.Report("a", 9050, {});
  CHECK(one.Executor().ForgettableEnd() == 40);
}

}  // namespace
}  // namespace waxwingfront::tests
