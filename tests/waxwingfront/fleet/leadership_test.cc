#include "waxwingfront/fleet/leadership.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "support/candidate.h"
#include "support/fake_store.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("exactly one of several processes leads and all agree on it",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  candidate two(loop, store, "two");
  REQUIRE(RunUntil(loop, [&] {
    return !one.election.Leader().empty() && !two.election.Leader().empty();
  }));
  CHECK(one.elected + two.elected == 1);
  CHECK(one.election.Leader() == two.election.Leader());
  CHECK(one.election.MayOrder() != two.election.MayOrder());
}

TEST_CASE("a leader whose lease has ended is replaced under a larger token",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  candidate two(loop, store, "two");
  const std::int64_t token = one.election.Token();
  store.EndLease(store.LeaseOf(std::string(fleet::kLeaderKey)));
  REQUIRE(RunUntil(loop, [&] { return one.elected + two.elected == 2; }));
  CHECK(std::max(one.election.Token(), two.election.Token()) > token);
}

TEST_CASE("a leader whose key was taken away steps down", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  // Its history of the key may be gone, or a watch be cut.
  const bool cut = GENERATE(false, true);
  const auto watch = one.store.watch;
  one.store.watch = [&](std::string_view prefix, std::int64_t after,
                        milliseconds wait, auto done) {
    if (!cut || one.elected == 0) return watch(prefix, after, wait, done);
    loop.After(milliseconds(5),
               [done] { done(fleet::store_changes{.compacted = true}); });
  };
  REQUIRE(RunUntil(loop, [&] { return one.election.MayOrder(); }));
  RunFor(loop, milliseconds(300));
  REQUIRE(one.deposed == 0);
  // Its lease stays alive.
  SECTION("by another process") {
    store.Put(std::string(fleet::kLeaderKey), "two 2");
    REQUIRE(RunUntil(
        loop, [&] { return one.deposed == 1; }, milliseconds(2000)));
    CHECK(RunUntil(loop, [&] { return one.election.Leader() == "two"; }));
  }
  SECTION("without a successor") {
    const std::int64_t token = one.election.Token();
    store.Remove(std::string(fleet::kLeaderKey));
    REQUIRE(RunUntil(
        loop, [&] { return one.deposed == 1; }, milliseconds(2000)));
    REQUIRE(RunUntil(loop, [&] { return one.elected == 2; }));
    CHECK(one.election.Token() > token);
  }
}

TEST_CASE("a leader that was suspended past its lease sends no orders",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  CHECK(one.election.MayOrder());
  // After a suspension, only the clock that includes it has advanced.
  one.clock_ms = [] { return candidate::SteadyMs() + 5000; };
  CHECK_FALSE(one.election.MayOrder());
}

TEST_CASE("a leader without store responses stops sending orders in time",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.election.MayOrder(); }));
  store.down = true;
  REQUIRE(RunUntil(loop, [&] { return !one.election.MayOrder(); }));
  store.down = false;
  // This store keeps the lease alive, so the leader continues.
  CHECK(RunUntil(loop, [&] { return one.election.MayOrder(); }));
  CHECK(one.deposed == 0);
}

TEST_CASE("a process that resigned still detects the next leader", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  candidate two(loop, store, "two");
  one.election.Resign();
  REQUIRE(RunUntil(loop, [&] { return two.elected == 1; }));
  CHECK(RunUntil(loop, [&] { return one.election.Leader() == "two"; }));
  CHECK(one.elected == 1);
}

TEST_CASE(
    "an announcement with a larger token deposes a leader that cannot "
    "read the store",
    "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  store.down = true;
  one.election.OnAnnouncement(one.election.Token() - 1, "stale");
  CHECK(one.deposed == 0);
  one.election.OnAnnouncement(one.election.Token() + 1, "two");
  CHECK(one.deposed == 1);
  CHECK(one.election.Leader() == "two");
}

TEST_CASE("lost responses to lease renewals do not interrupt orders",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.election.MayOrder(); }));
  // Two of three responses are lost, which is detected after a timeout.
  const auto renew = one.store.renew_lease;
  int renewals = 0;
  one.store.renew_lease = [&](std::int64_t lease, auto done) {
    if (++renewals % 3 == 0) return renew(lease, done);
    loop.After(milliseconds(150),
               [done] { done(fleet::lease_status::kUnknown); });
  };
  bool gap = false;
  RunUntil(
      loop,
      [&] {
        gap |= !one.election.MayOrder();
        return gap;
      },
      milliseconds(2000));
  CHECK_FALSE(gap);
}

TEST_CASE("a process that resigned is not elected again while its lease lasts",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  const auto end = one.store.end_lease;
  one.store.end_lease = [&](std::int64_t lease) {
    loop.After(milliseconds(100), [end, lease] { end(lease); });
  };
  one.election.Resign();
  RunFor(loop, milliseconds(200));
  CHECK(one.elected == 1);
  CHECK(store.Value(std::string(fleet::kLeaderKey)).empty());
}

TEST_CASE("a delayed claim is dropped once another process leads", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate weak(loop, store, "weak", milliseconds(200));
  candidate strong(loop, store, "strong");
  REQUIRE(RunUntil(loop, [&] { return weak.election.Leader() == "strong"; }));
  RunFor(loop, milliseconds(300));
  CHECK(weak.elected + weak.leases == 0);
}

TEST_CASE("a leader that hands over sends no orders and can be elected again",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one", milliseconds(100));
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  candidate two(loop, store, "two");
  const std::int64_t token = one.election.Token();
  one.election.HandOver("two");
  CHECK_FALSE(one.election.MayOrder());
  CHECK(one.elected + two.elected == 1);
  REQUIRE(RunUntil(loop, [&] { return two.elected == 1; }));
  CHECK(one.elected == 1);
  CHECK(two.election.Token() > token);
  two.election.Resign();
  CHECK(RunUntil(loop, [&] { return one.elected == 2; }));
}

TEST_CASE("a deposed leader is not eligible until the store responds",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  CHECK(one.election.EligibleToLead());
  store.down = true;
  one.election.OnAnnouncement(one.election.Token() + 1, "two");
  CHECK_FALSE(one.election.EligibleToLead());
  RunFor(loop, milliseconds(100));
  CHECK_FALSE(one.election.EligibleToLead());
  store.down = false;
  CHECK(RunUntil(loop, [&] { return one.election.EligibleToLead(); }));
}

TEST_CASE("a process without recent store responses is not eligible to lead",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  CHECK_FALSE(one.election.EligibleToLead());
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  candidate two(loop, store, "two");
  REQUIRE(RunUntil(loop, [&] { return two.election.EligibleToLead(); }));
  RunFor(loop, milliseconds(800));
  CHECK(two.election.EligibleToLead());
  store.down = true;
  CHECK(RunUntil(loop, [&] { return !two.election.EligibleToLead(); }));
  store.down = false;
  CHECK(RunUntil(loop, [&] { return two.election.EligibleToLead(); }));
  two.election.Resign();
  CHECK_FALSE(two.election.EligibleToLead());
}

TEST_CASE("a claim that takes effect late does not lead under another lease",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  const fleet::store_services direct = store.Services();
  candidate one(loop, store, "one");
  fleet::store_write kept;
  int writes = 0;
  int grants = 0;
  one.store.write = [&](const fleet::store_write& write, auto done) {
    if (++writes > 1) return direct.write(write, done);
    kept = write;
    loop.After(milliseconds(5), [done] {
      done({.status = fleet::store_write_status::kUnknown});
    });
  };
  one.store.grant_lease = [&](milliseconds ttl, auto done) {
    if (++grants > 1 && !kept.put.empty()) {
      direct.write(kept, [](const fleet::store_write_reply&) {});
      kept.put.clear();
    }
    direct.grant_lease(ttl, done);
  };
  REQUIRE(RunUntil(loop, [&] { return one.election.MayOrder(); }));
  REQUIRE(store.Value(std::string(fleet::kLeaderKey)).starts_with("one"));
  std::int64_t renewed = 0;
  one.store.renew_lease = [&](std::int64_t lease, auto done) {
    renewed = lease;
    direct.renew_lease(lease, done);
  };
  REQUIRE(RunUntil(loop, [&] { return renewed != 0; }));
  const std::int64_t held = store.LeaseOf(std::string(fleet::kLeaderKey));
  CHECK(renewed == held);
  // Nobody renews the lease, so that it ends.
  candidate two(loop, store, "two");
  if (renewed != held) store.EndLease(held);
  RunFor(loop, milliseconds(200));
  CHECK_FALSE((one.election.MayOrder() && two.election.MayOrder()));
}

TEST_CASE("a late claim that takes effect before the next one is used",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  const fleet::store_services direct = store.Services();
  candidate one(loop, store, "one");
  one.jitter = 150;
  one.store.write = [&](const fleet::store_write& write, auto done) {
    loop.After(milliseconds(5), [done] {
      done({.status = fleet::store_write_status::kUnknown});
    });
    loop.After(milliseconds(50), [&direct, write] {
      direct.write(write, [](const fleet::store_write_reply&) {});
    });
  };
  REQUIRE(RunUntil(loop, [&] { return one.leases == 1; }));
  std::int64_t renewed = 0;
  one.store.renew_lease = [&](std::int64_t lease, auto done) {
    renewed = lease;
    direct.renew_lease(lease, done);
  };
  REQUIRE(RunUntil(
      loop, [&] { return renewed != 0; }, milliseconds(1000)));
  CHECK(one.leases == 1);
  CHECK(one.election.MayOrder());
  CHECK(renewed == store.LeaseOf(std::string(fleet::kLeaderKey)));
}

TEST_CASE("a process that resigns while its claim is in flight never leads",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  const auto write = one.store.write;
  std::function<void()> send_claim;
  one.store.write = [&](const fleet::store_write& claim, auto done) {
    send_claim = [&write, claim, done] { write(claim, done); };
  };
  REQUIRE(RunUntil(loop, [&] { return send_claim != nullptr; }));
  one.election.Resign();
  send_claim();
  candidate two(loop, store, "two");
  REQUIRE(RunUntil(loop, [&] { return two.elected == 1; }));
  CHECK(one.elected == 0);
}

TEST_CASE("a leader key written by the previous version is understood",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put(std::string(fleet::kLeaderKey), "previous 17");
  candidate one(loop, store, "one");
  CHECK(RunUntil(loop, [&] { return one.election.Leader() == "previous"; }));
}

}  // namespace
}  // namespace waxwingfront::tests
