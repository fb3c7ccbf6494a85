#include <catch2/catch.hpp>
#include <string>

#include "support/fake_store.h"
#include "support/fleet_process.h"
#include "support/loop_runner.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// Guards against leases that lapse while all processes are about to end.
TEST_CASE("a leader that ends leads on until another process is ready",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process leader(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return leader.Leads(store); }));
  fleet_process ending(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return ending.node.Ready(); }));
  // The leader has just learned that the other process is ready.
  RunFor(loop, milliseconds(500));
  ending.node.Resign();
  leader.node.Resign();
  RunFor(loop, milliseconds(1000));
  CHECK(leader.Leads(store));
  fleet_process next(loop, store, kWeak);
  CHECK(RunUntil(loop, [&] { return next.Leads(store); }));
  CHECK(leader.Elections() + ending.Elections() == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
