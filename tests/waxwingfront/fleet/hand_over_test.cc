#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "support/candidate.h"
#include "support/fake_store.h"
#include "support/fleet_process.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// The leader does not announce itself to `process` any more.
void TakeOffMemberList(fake_store& store, const fleet_process& process) {
  const std::string key =
      std::string(fleet::kMembersPrefix) + process.node.Address();
  store.Remove(key);
}

TEST_CASE("a weak process that was not told of a hand-over is not elected",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process leader(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return leader.Leads(store); }));
  fleet_process untold(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return untold.node.Ready(); }));
  TakeOffMemberList(store, untold);
  RunFor(loop, milliseconds(500));
  fleet_process strong(loop, store, kStrong);
  const auto grant = strong.store.grant_lease;
  strong.store.grant_lease = [&](milliseconds ttl, auto done) {
    loop.After(milliseconds(300), [grant, ttl, done] { grant(ttl, done); });
  };
  REQUIRE(RunUntil(loop, [&] { return strong.Leads(store); }));
  CHECK(untold.Elections() == 0);
  CHECK(leader.Elections() == 1);
}

// A leader and a process that follows it.
struct hand_over_scene {
  hand_over_scene() {
    REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
    two.emplace(loop, store, "two");
    REQUIRE(RunUntil(loop, [&] { return two->election.Leader() == "one"; }));
  }

  std::string Key() const {
    return store.Value(std::string(fleet::kLeaderKey));
  }

  net::event_loop loop;
  fake_store store{loop};
  candidate one{loop, store, "one"};
  std::optional<candidate> two;
};

TEST_CASE("only the successor claims a reserved leader key", "[fleet]") {
  hand_over_scene scene;
  const std::int64_t lease =
      scene.store.LeaseOf(std::string(fleet::kLeaderKey));
  bool ended = false;
  scene.one.store.end_lease = [&](std::int64_t) { ended = true; };
  scene.one.election.HandOver("gone");
  RunFor(scene.loop, milliseconds(50));
  candidate three(scene.loop, scene.store, "three");
  REQUIRE(RunUntil(scene.loop, [&] { return ended; }));
  CHECK(scene.one.elected + scene.two->elected + three.elected == 1);
  CHECK(scene.two->election.Leader().empty());
  scene.store.EndLease(lease);
  CHECK(RunUntil(scene.loop, [&] {
    return scene.one.elected + scene.two->elected + three.elected == 2;
  }));
}

TEST_CASE("a reservation ends with the lease although renewals arrive late",
          "[fleet]") {
  hand_over_scene scene;
  // The fake store ends no lease by itself.
  scene.one.election.HandOver("gone");
  CHECK(RunUntil(scene.loop,
                 [&] { return scene.one.elected + scene.two->elected == 2; }));
}

TEST_CASE("a lost request to end a leader's lease is repeated", "[fleet]") {
  hand_over_scene scene;
  const auto end = scene.one.store.end_lease;
  // Renewals that arrive late keep the lease alive until then.
  bool lost = false;
  scene.one.store.end_lease = [&](std::int64_t lease) {
    if (std::exchange(lost, true)) end(lease);
  };
  SECTION("of a reservation") { scene.one.election.HandOver("gone"); }
  SECTION("of a process that resigns") { scene.one.election.Resign(); }
  CHECK(RunUntil(scene.loop,
                 [&] { return scene.one.elected + scene.two->elected == 2; }));
}

TEST_CASE("a process that is ending declines leadership at once", "[fleet]") {
  hand_over_scene scene;
  candidate ending(scene.loop, scene.store, "ending");
  REQUIRE(
      RunUntil(scene.loop, [&] { return ending.election.Leader() == "one"; }));
  ending.election.Resign();
  scene.one.store.end_lease = [](std::int64_t) {};
  scene.one.election.HandOver("ending");
  CHECK(RunUntil(scene.loop,
                 [&] { return scene.one.elected + scene.two->elected == 2; }));
  CHECK(ending.elected == 0);
}

TEST_CASE("a hand-over that the store does not confirm leaves the key vacant",
          "[fleet]") {
  hand_over_scene scene;
  const auto write = scene.one.store.write;
  const auto end = scene.one.store.end_lease;
  const bool applied = GENERATE(false, true);
  bool ended = false;
  bool ended_at_once = false;
  scene.one.store.end_lease = [&](std::int64_t lease) {
    ended = true;
    end(lease);
  };
  scene.one.store.write = [&](const fleet::store_write& entry, auto done) {
    if (applied) write(entry, [](const fleet::store_write_reply&) {});
    scene.loop.After(milliseconds(20), [&, done] {
      done({.status = fleet::store_write_status::kUnknown});
      ended_at_once = ended;
    });
  };
  scene.one.election.HandOver("gone");
  CHECK(RunUntil(scene.loop,
                 [&] { return scene.one.elected + scene.two->elected == 2; }));
  CHECK(ended_at_once);
}

TEST_CASE("a late reservation does not replace the key of the next leader",
          "[fleet]") {
  hand_over_scene scene;
  const auto write = scene.one.store.write;
  std::function<void()> carry_out;
  scene.one.store.write = [&](const fleet::store_write& entry, auto done) {
    if (carry_out) return write(entry, done);
    carry_out = [write, entry] {
      write(entry, [](const fleet::store_write_reply&) {});
    };
    done({.status = fleet::store_write_status::kUnknown});
  };
  scene.one.store.end_lease = [](std::int64_t) {};
  scene.one.election.HandOver("gone");
  scene.store.Remove(std::string(fleet::kLeaderKey));
  REQUIRE(RunUntil(
      scene.loop, [&] { return scene.one.elected + scene.two->elected == 2; }));
  const std::string key = scene.Key();
  REQUIRE(carry_out);
  carry_out();
  RunFor(scene.loop, milliseconds(50));
  CHECK(scene.Key() == key);
}

TEST_CASE("a late claim of a reserved key does not replace the next leader's",
          "[fleet]") {
  hand_over_scene scene;
  const auto write = scene.two->store.write;
  std::function<void()> carry_out;
  scene.two->store.write = [&](const fleet::store_write& entry, auto) {
    if (carry_out) return;
    carry_out = [write, entry] {
      write(entry, [](const fleet::store_write_reply&) {});
    };
  };
  scene.one.election.HandOver("two");
  REQUIRE(RunUntil(scene.loop, [&] { return carry_out != nullptr; }));
  scene.store.Remove(std::string(fleet::kLeaderKey));
  REQUIRE(RunUntil(scene.loop, [&] { return scene.one.elected == 2; }));
  const std::string key = scene.Key();
  carry_out();
  RunFor(scene.loop, milliseconds(50));
  CHECK(scene.Key() == key);
}

TEST_CASE("a leader that ends after a hand-over keeps the key reserved",
          "[fleet]") {
  hand_over_scene scene;
  candidate three(scene.loop, scene.store, "three");
  REQUIRE(
      RunUntil(scene.loop, [&] { return three.election.Leader() == "one"; }));
  const auto grant = scene.two->store.grant_lease;
  std::function<void()> grant_now;
  scene.two->store.grant_lease = [&](milliseconds ttl, auto done) {
    grant_now = [grant, ttl, done] { grant(ttl, done); };
  };
  int ended = 0;
  scene.one.store.end_lease = [&](std::int64_t) { ++ended; };
  scene.one.election.HandOver("two");
  REQUIRE(RunUntil(scene.loop, [&] { return grant_now != nullptr; }));
  scene.one.election.Resign();
  CHECK(ended == 0);
  grant_now();
  REQUIRE(RunUntil(scene.loop,
                   [&] { return scene.two->elected + three.elected == 1; }));
  CHECK(scene.two->elected == 1);
}

TEST_CASE("claims of a reserved key that the store refuses are paced",
          "[fleet]") {
  hand_over_scene scene;
  int writes = 0;
  core::monotonic_time refused{};
  milliseconds shortest(1000);
  scene.two->store.write = [&](const fleet::store_write&, auto done) {
    const core::monotonic_time now = core::Now();
    if (++writes > 1) {
      shortest = std::min(
          shortest, std::chrono::duration_cast<milliseconds>(now - refused));
    }
    refused = now;
    done({.status = fleet::store_write_status::kNotApplied});
  };
  scene.one.store.end_lease = [](std::int64_t) {};
  scene.one.election.HandOver("two");
  REQUIRE(RunUntil(scene.loop, [&] { return writes == 3; }));
  CHECK(shortest >= milliseconds(30));
}

TEST_CASE("the time without a ready leader spans leaders that were never ready",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one", milliseconds(100));
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  candidate two(loop, store, "two");
  RunFor(loop, milliseconds(100));
  one.election.HandOver("two");
  REQUIRE(RunUntil(loop, [&] { return two.elected == 1; }));
  const auto first = two.election.OnReady();
  REQUIRE(first);
  CHECK(*first >= milliseconds(200));
  CHECK_FALSE(two.election.OnReady());
  const core::monotonic_time handed_over = core::Now();
  two.election.HandOver("one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 2; }));
  const auto second = one.election.OnReady();
  REQUIRE(second);
  CHECK(*second <= core::Now() - handed_over);
}

// Guards against a request that lapses until the process asks again.
TEST_CASE("a request for leadership soon after a hand-over counts", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process leader(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return leader.Leads(store); }));
  schema::fleet_strength record;
  record.set_strength(kStrong);
  const auto reserved_for = [&](const std::string& process) {
    return store.Value(std::string(fleet::kLeaderKey))
        .starts_with(process + " -");
  };
  const auto ask = [&](const std::string& process) {
    store.Put(std::string(fleet::kCandidatesPrefix) + process,
              record.SerializeAsString());
  };
  ask("gone");
  REQUIRE(RunUntil(loop, [&] { return reserved_for("gone"); }));
  REQUIRE(RunUntil(loop, [&] { return leader.Elections() == 2; }));
  RunFor(loop, milliseconds(50));
  ask("strong");
  CHECK(RunUntil(
      loop, [&] { return reserved_for("strong"); }, milliseconds(5000)));
}

TEST_CASE("a strong process that a weak leader does not reach still leads",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process leader(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return leader.Leads(store); }));
  fleet_process strong(loop, store, kStrong);
  // Calls of the leader to it never arrive in time.
  const std::string members(fleet::kMembersPrefix);
  leader.store.range = [&, range = leader.store.range](std::string_view prefix,
                                                       std::string_view after,
                                                       auto done) {
    if (prefix == members) TakeOffMemberList(store, strong);
    range(prefix, after, done);
  };
  CHECK(RunUntil(
      loop, [&] { return strong.Leads(store); }, milliseconds(8000)));
}

}  // namespace
}  // namespace waxwingfront::tests
