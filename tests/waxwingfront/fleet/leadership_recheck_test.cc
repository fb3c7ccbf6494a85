#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "support/candidate.h"
#include "support/fake_store.h"
#include "support/loop_runner.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("rechecks of the leader during a vacancy do not postpone a claim",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate weak(loop, store, "weak", milliseconds(150));
  REQUIRE(RunUntil(
      loop,
      [&] {
        weak.election.RecheckLeader();
        return weak.elected == 1;
      },
      milliseconds(1000)));
}

TEST_CASE("rechecks that are faster than the store do not hide a vacancy",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  candidate two(loop, store, "two");
  REQUIRE(RunUntil(loop, [&] { return two.election.Leader() == "one"; }));
  const auto get = two.store.get;
  two.store.get = [&](std::string_view key, auto done) {
    loop.After(milliseconds(60),
               [get, key = std::string(key), done] { get(key, done); });
  };
  one.election.Resign();
  const auto recheck_until_elected = [&] {
    if (!two.election.Leader().empty()) two.election.RecheckLeader();
    return two.elected == 1;
  };
  CHECK(RunUntil(loop, recheck_until_elected, milliseconds(1500)));
}

TEST_CASE("rechecks that are faster than the store do not drop a claim",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  const auto grant = one.store.grant_lease;
  one.store.grant_lease = [&](milliseconds ttl, auto done) {
    loop.After(milliseconds(60), [grant, ttl, done] { grant(ttl, done); });
  };
  const auto recheck_until_elected = [&] {
    one.election.RecheckLeader();
    return one.elected == 1;
  };
  CHECK(RunUntil(loop, recheck_until_elected, milliseconds(1500)));
}

TEST_CASE("a late announcement of a leader that is gone does not end claims",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one", milliseconds(150));
  RunFor(loop, milliseconds(50));
  one.election.OnAnnouncement(1, "gone");
  CHECK(RunUntil(
      loop, [&] { return one.elected == 1; }, milliseconds(3000)));
}

}  // namespace
}  // namespace waxwingfront::tests
