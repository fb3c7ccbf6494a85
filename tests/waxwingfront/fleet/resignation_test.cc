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
  ending.node.ResignToSuccessor(milliseconds(0));
  leader.node.ResignToSuccessor(milliseconds(0));
  RunFor(loop, milliseconds(1000));
  CHECK(leader.Leads(store));
  fleet_process next(loop, store, kWeak);
  CHECK(RunUntil(loop, [&] { return next.Leads(store); }));
  CHECK(leader.Elections() + ending.Elections() == 1);
}

TEST_CASE("a leader that ends gives way to a process that is ready",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process leader(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return leader.Leads(store); }));
  fleet_process other(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return other.node.Ready(); }));
  leader.node.ResignToSuccessor(milliseconds(0));
  CHECK(RunUntil(loop, [&] { return other.Leads(store); }));
  CHECK_FALSE(leader.node.Leads());
  other.node.ResignToSuccessor(milliseconds(0));
  RunFor(loop, milliseconds(500));
  CHECK(other.Leads(store));
  other.node.Resign();
  CHECK(RunUntil(loop, [&] {
    return store.Value(std::string(fleet::kLeaderKey)).empty();
  }));
  RunFor(loop, milliseconds(200));
  CHECK(leader.Elections() + other.Elections() == 2);
}

// Guards against leadership that passes to a process which is stopped before it
// has claimed it.
TEST_CASE("a leader that ends does not give way before it is time", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process leader(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return leader.Leads(store); }));
  fleet_process other(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return other.node.Ready(); }));
  leader.node.ResignToSuccessor(milliseconds(1000));
  RunFor(loop, milliseconds(600));
  CHECK(leader.Leads(store));
  CHECK(RunUntil(loop, [&] { return other.Leads(store); }));
}

}  // namespace
}  // namespace waxwingfront::tests
