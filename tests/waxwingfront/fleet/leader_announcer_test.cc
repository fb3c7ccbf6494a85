#include "waxwingfront/fleet/leader_announcer.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "support/fake_store.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/leader_choice.h"
#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/async_http_server.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE(
    "an unanswered read of the strengths does not show that none is known",
    "[fleet]") {
  net::event_loop loop;
  net::async_http_client client{loop, {}};
  fake_store store(loop);
  schema::fleet_strength strong;
  strong.set_strength(900);
  store.Put(std::string(fleet::kStrengthsPrefix) + "strong",
            strong.SerializeAsString());
  const fleet::store_services services = store.Services();
  fleet::leader_announcer announcer(loop, client, services, "weak", {}, {});
  store.down = true;
  int failures = 0;
  std::optional<std::int64_t> strongest;
  announcer.ReadStrongest([&](std::optional<std::int64_t> strength) {
    if (!strength) ++failures;
    strongest = strength;
  });
  REQUIRE(RunUntil(loop, [&] { return failures == 1; }));
  CHECK_FALSE(strongest);
  store.down = false;
  REQUIRE(RunUntil(loop, [&] { return strongest.has_value(); }));
  CHECK(*strongest == 900);
}

TEST_CASE("members on later pages of the list hear of the leader", "[fleet]") {
  net::event_loop loop;
  net::async_http_client client{loop, {}};
  fake_store store(loop);
  fleet::store_services services = store.Services();
  std::size_t announced = 0;
  const auto page_of = [](std::size_t first) {
    fleet::store_page page{.has_more = first < 4, .at = 1};
    for (std::size_t i = first; i < first + 2; ++i) {
      // Nothing listens there.
      const std::string address = "127.0.0.1:" + std::to_string(i + 1);
      page.items.push_back({.key = std::string(fleet::kMembersPrefix) + address,
                            .value = address,
                            .revision = 1});
    }
    return page;
  };
  bool failed = false;
  services.range = [&](std::string_view, std::string_view after, auto done) {
    if (after.ends_with(":2") && !std::exchange(failed, true)) {
      loop.After(milliseconds(1), [done] {
        done(core::Failure(core::error_code::kStoreUnavailable, "refused"));
      });
      return;
    }
    std::size_t first = 0;
    if (after.ends_with(":2")) first = 2;
    if (after.ends_with(":4")) first = 4;
    loop.After(milliseconds(1), [&, done, first] { done(page_of(first)); });
  };
  fleet::leader_announcer announcer(
      loop, client, services, "127.0.0.1:1",
      {.period = milliseconds(50), .watch_timeout = milliseconds(100)},
      {.strongest = [] { return std::int64_t{0}; },
       .on_member_status = [](const std::string&, const schema::fleet_standing&,
                              core::monotonic_time) {},
       .on_round = [&](std::size_t members) { announced = members; }});
  announcer.Start(1);
  CHECK(RunUntil(
      loop, [&] { return announced == 5; }, milliseconds(3000)));
}

TEST_CASE("a leader on a slow link still discovers a stronger ready process",
          "[fleet]") {
  const milliseconds delay = GENERATE(milliseconds(800), milliseconds(1600));
  net::event_loop loop;
  net::async_http_client client{loop, {}};
  fake_store store(loop);
  const fleet::store_services services = store.Services();
  schema::fleet_standing status;
  status.set_strength(900);
  status.set_ready(true);
  net::async_http_server strong(
      loop, {.address = "127.0.0.1:0"},
      [&](const net::server_request&,
          net::async_http_server::responder respond) {
        loop.After(delay, [&status, respond = std::move(respond)] {
          respond({.body = status.SerializeAsString()});
        });
      });
  REQUIRE(strong.Start());
  store.Put(std::string(fleet::kMembersPrefix) + strong.Address(),
            strong.Address());
  fleet::leader_choice choice({.address = "weak", .strength = 100});
  std::string successor;
  fleet::leader_announcer announcer(
      loop, client, services, "weak", {},
      {.strongest = [] { return std::int64_t{0}; },
       .on_member_status =
           [&](const std::string& address,
               const schema::fleet_standing& reported,
               core::monotonic_time sent) {
             CHECK(core::Now() - sent >= delay);
             choice.OnMemberStatus(
                 address,
                 {.strength = reported.strength(), .ready = reported.ready()},
                 sent);
             successor = choice.Successor(core::Now()).value_or("");
           }});
  announcer.Start(1);
  CHECK(RunUntil(
      loop, [&] { return successor == strong.Address(); }, milliseconds(4000)));
}

}  // namespace
}  // namespace waxwingfront::tests
