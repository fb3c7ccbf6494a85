#include "waxwingfront/fleet/leadership.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "support/fake_store.h"
#include "support/loop_runner.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;
using fleet::leadership;

struct candidate {
  candidate(net::event_loop& loop, fake_store& shared,
            const std::string& address,
            milliseconds claim_delay = milliseconds(0))
      : store(shared.Services()),
        place(loop, store,
              {.address = address,
               .nonce = address,
               .lease = milliseconds(300),
               .renew_every = milliseconds(80),
               .renewal_late = milliseconds(40),
               .lease_margin = milliseconds(20),
               .watch = milliseconds(200),
               .claim_spread = milliseconds(0),
               .retry = milliseconds(30)},
              {.on_elected = [this](std::int64_t,
                                    core::monotonic_time) { ++elected; },
               .on_deposed = [this](std::string_view) { ++deposed; },
               .on_leader = [](const std::string&) {},
               .boot_time_ms = [this] { return clock_ms(); },
               .random = [this](std::int64_t) { return spread_part; },
               .claim_wait =
                   [claim_delay](milliseconds spread) {
                     return spread + claim_delay;
                   }}) {
    const auto grant = store.grant_lease;
    store.grant_lease = [this, grant](milliseconds ttl, auto done) {
      ++leases;
      grant(ttl, done);
    };
    place.Start();
  }

  static std::int64_t SteadyMs() {
    return std::chrono::duration_cast<milliseconds>(
               core::Now().time_since_epoch())
        .count();
  }

  std::function<std::int64_t()> clock_ms = SteadyMs;
  // Milliseconds.
  std::int64_t spread_part = 0;
  int elected = 0;
  int deposed = 0;
  int leases = 0;
  fleet::store_services store;
  leadership place;
};

TEST_CASE("of several processes one leads and all know it", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  candidate two(loop, store, "two");
  REQUIRE(RunUntil(loop, [&] {
    return !one.place.Leader().empty() && !two.place.Leader().empty();
  }));
  CHECK(one.elected + two.elected == 1);
  CHECK(one.place.Leader() == two.place.Leader());
  CHECK(one.place.MayOrder() != two.place.MayOrder());
}

TEST_CASE("another process leads once the leader's lease has ended",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  candidate two(loop, store, "two");
  const std::int64_t token = one.place.Token();
  store.EndLease(store.LeaseOf(std::string(fleet::kLeaderKey)));
  REQUIRE(RunUntil(loop, [&] { return one.elected + two.elected == 2; }));
  CHECK(std::max(one.place.Token(), two.place.Token()) > token);
}

TEST_CASE("a leader that was suspended past its lease orders nothing",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  CHECK(one.place.MayOrder());
  // The machine was suspended: only the clock that counts it has moved.
  one.clock_ms = [] { return candidate::SteadyMs() + 5000; };
  CHECK_FALSE(one.place.MayOrder());
}

TEST_CASE("a leader that the store does not answer stops ordering in time",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.place.MayOrder(); }));
  store.down = true;
  REQUIRE(RunUntil(loop, [&] { return !one.place.MayOrder(); }));
  store.down = false;
  // The lease lives on in this store, so the leader goes on.
  CHECK(RunUntil(loop, [&] { return one.place.MayOrder(); }));
  CHECK(one.deposed == 0);
}

TEST_CASE("a process that resigned still follows the next leader", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  candidate two(loop, store, "two");
  one.place.Resign();
  REQUIRE(RunUntil(loop, [&] { return two.elected == 1; }));
  CHECK(RunUntil(loop, [&] { return one.place.Leader() == "two"; }));
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
  one.place.Hear(one.place.Token() - 1, "stale");
  CHECK(one.deposed == 0);
  one.place.Hear(one.place.Token() + 1, "two");
  CHECK(one.deposed == 1);
  CHECK(one.place.Leader() == "two");
}

TEST_CASE("renewals whose answers are lost do not end orders", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.place.MayOrder(); }));
  // Of three answers two are lost, which is known after a time-out.
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
        gap |= !one.place.MayOrder();
        return gap;
      },
      milliseconds(2000));
  CHECK_FALSE(gap);
}

TEST_CASE("a process that resigned does not lead until its lease's end arrives",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  const auto end = one.store.end_lease;
  one.store.end_lease = [&](std::int64_t lease) {
    loop.After(milliseconds(100), [end, lease] { end(lease); });
  };
  one.place.Resign();
  RunFor(loop, milliseconds(200));
  CHECK(one.elected == 1);
  CHECK(store.Value(std::string(fleet::kLeaderKey)).empty());
}

TEST_CASE(
    "a process that waits before its claim claims nothing once another "
    "leads",
    "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate weak(loop, store, "weak", milliseconds(200));
  candidate strong(loop, store, "strong");
  REQUIRE(RunUntil(loop, [&] { return weak.place.Leader() == "strong"; }));
  RunFor(loop, milliseconds(300));
  CHECK(weak.elected + weak.leases == 0);
}

TEST_CASE("doubts during a vacancy do not put a claim off", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate weak(loop, store, "weak", milliseconds(150));
  REQUIRE(RunUntil(
      loop,
      [&] {
        weak.place.Doubt();
        return weak.elected == 1;
      },
      milliseconds(1000)));
}

TEST_CASE("a leader that hands over orders nothing and can lead again",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one", milliseconds(100));
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  candidate two(loop, store, "two");
  const std::int64_t token = one.place.Token();
  one.place.HandOver();
  CHECK_FALSE(one.place.MayOrder());
  RunFor(loop, milliseconds(50));
  CHECK(one.elected + two.elected == 1);
  one.place.Release();
  REQUIRE(RunUntil(loop, [&] { return two.elected == 1; }));
  CHECK(two.place.Token() > token);
  two.place.Resign();
  CHECK(RunUntil(loop, [&] { return one.elected == 2; }));
}

TEST_CASE("a leader that lost the store is not ready until the store answers",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  CHECK(one.place.FollowsStore());
  store.down = true;
  one.place.Hear(one.place.Token() + 1, "two");
  CHECK_FALSE(one.place.FollowsStore());
  RunFor(loop, milliseconds(100));
  CHECK_FALSE(one.place.FollowsStore());
  store.down = false;
  CHECK(RunUntil(loop, [&] { return one.place.FollowsStore(); }));
}

TEST_CASE("only a process that the store answers follows it", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  CHECK_FALSE(one.place.FollowsStore());
  REQUIRE(RunUntil(loop, [&] { return one.elected == 1; }));
  candidate two(loop, store, "two");
  REQUIRE(RunUntil(loop, [&] { return two.place.FollowsStore(); }));
  RunFor(loop, milliseconds(800));
  CHECK(two.place.FollowsStore());
  store.down = true;
  CHECK(RunUntil(loop, [&] { return !two.place.FollowsStore(); }));
  store.down = false;
  CHECK(RunUntil(loop, [&] { return two.place.FollowsStore(); }));
  two.place.Resign();
  CHECK_FALSE(two.place.FollowsStore());
}

TEST_CASE("a claim that takes effect late makes no leader without its lease",
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
  REQUIRE(RunUntil(loop, [&] { return one.place.MayOrder(); }));
  REQUIRE(store.Value(std::string(fleet::kLeaderKey)).starts_with("one"));
  std::int64_t renewed = 0;
  one.store.renew_lease = [&](std::int64_t lease, auto done) {
    renewed = lease;
    direct.renew_lease(lease, done);
  };
  REQUIRE(RunUntil(loop, [&] { return renewed != 0; }));
  const std::int64_t held = store.LeaseOf(std::string(fleet::kLeaderKey));
  CHECK(renewed == held);
  // Nobody renews it, so that it ends.
  candidate two(loop, store, "two");
  if (renewed != held) store.EndLease(held);
  RunFor(loop, milliseconds(200));
  CHECK_FALSE((one.place.MayOrder() && two.place.MayOrder()));
}

TEST_CASE("a claim that takes effect before the next one leads", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  const fleet::store_services direct = store.Services();
  candidate one(loop, store, "one");
  one.spread_part = 150;
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
  CHECK(one.place.MayOrder());
  CHECK(renewed == store.LeaseOf(std::string(fleet::kLeaderKey)));
}

TEST_CASE("a process that resigns while its claim is on its way never leads",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  const auto write = one.store.write;
  std::function<void()> claim_on_its_way;
  one.store.write = [&](const fleet::store_write& claim, auto done) {
    claim_on_its_way = [&write, claim, done] { write(claim, done); };
  };
  REQUIRE(RunUntil(loop, [&] { return claim_on_its_way != nullptr; }));
  one.place.Resign();
  claim_on_its_way();
  candidate two(loop, store, "two");
  REQUIRE(RunUntil(loop, [&] { return two.elected == 1; }));
  CHECK(one.elected == 0);
}

TEST_CASE("a value of the previous version names its leader", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put(std::string(fleet::kLeaderKey), "previous 17");
  candidate one(loop, store, "one");
  CHECK(RunUntil(loop, [&] { return one.place.Leader() == "previous"; }));
}

}  // namespace
}  // namespace waxwingfront::tests
