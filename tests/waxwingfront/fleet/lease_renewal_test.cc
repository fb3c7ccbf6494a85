#include "waxwingfront/fleet/lease_renewal.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "support/candidate.h"
#include "support/fake_store.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("a leader whose lease ends without answers of the store steps down",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.election.MayOrder(); }));
  SECTION("the store refuses calls") { store.down = true; }
  SECTION("the store does not answer") {
    one.store.renew_lease = [](std::int64_t, auto) {};
    one.store.get = [](std::string_view, auto) {};
  }
  SECTION("calls time out") {
    one.store.get = [](std::string_view, auto) {};
    one.store.renew_lease = [&loop](std::int64_t, auto done) {
      loop.After(milliseconds(150),
                 [done] { done(fleet::lease_status::kUnknown); });
    };
  }
  SECTION("the machine was suspended and cut off") {
    store.down = true;
    one.clock_ms = [] { return candidate::SteadyMs() + 5000; };
  }
  REQUIRE(RunUntil(
      loop, [&] { return one.deposed == 1; }, milliseconds(2000)));
  CHECK_FALSE(one.election.MayOrder());
  CHECK(one.election.Leader().empty());
  one.election.OnAnnouncement(one.election.Token() + 1, "two");
  CHECK(one.election.Leader() == "two");
}

TEST_CASE("a leader whose lease ended by its clock leads under another token",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  candidate one(loop, store, "one");
  REQUIRE(RunUntil(loop, [&] { return one.election.MayOrder(); }));
  const std::int64_t token = one.election.Token();
  const std::int64_t lease = store.LeaseOf(std::string(fleet::kLeaderKey));
  // This store does not end leases while it is down.
  store.down = true;
  REQUIRE(RunUntil(
      loop, [&] { return one.deposed == 1; }, milliseconds(2000)));
  store.down = false;
  REQUIRE(RunUntil(loop, [&] { return one.election.MayOrder(); }));
  CHECK(one.election.Token() > token);
  CHECK(store.LeaseOf(std::string(fleet::kLeaderKey)) != lease);
}

TEST_CASE("a lease ends by the clock only once no answer can extend it",
          "[fleet]") {
  // Answers to renewals that follow each other arrive after the lease ended by
  // the earlier ones.
  constexpr milliseconds kAnswerTime(900);
  constexpr milliseconds kRuns(4000);
  net::event_loop loop;
  fake_store store(loop);
  fleet::store_services services = store.Services();
  services.renew_lease = [&](std::int64_t, auto done) {
    loop.After(kAnswerTime, [done] { done(fleet::lease_status::kAlive); });
  };
  int renewed = 0;
  int ended = 0;
  fleet::lease_renewal renewal(loop, services, {},
                               {.on_renewed = [&] { ++renewed; },
                                .on_ended = [&] { ++ended; },
                                .on_expired = [&] { ++ended; },
                                .boot_time_ms = candidate::SteadyMs});
  renewal.Start({.id = 1, .ttl = milliseconds(1500)}, candidate::SteadyMs());
  RunFor(loop, kRuns);
  CHECK(renewed > 3);
  CHECK(ended == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
