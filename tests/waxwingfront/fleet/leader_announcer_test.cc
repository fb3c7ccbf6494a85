#include "waxwingfront/fleet/leader_announcer.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

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

// Guards against processes that never hear of a leader, and cannot succeed it,
// at a site with more members than a page holds.
TEST_CASE("a leader announces itself to the members of all pages", "[fleet]") {
  net::event_loop loop;
  net::async_http_client client{loop, {}};
  fake_store store(loop);
  std::set<std::string> reached;
  net::async_http_server first(
      loop, {.address = "127.0.0.1:0"},
      [&](const net::server_request&,
          const net::async_http_server::responder&) { reached.insert("a"); });
  net::async_http_server second(
      loop, {.address = "127.0.0.1:0"},
      [&](const net::server_request&,
          const net::async_http_server::responder&) { reached.insert("b"); });
  REQUIRE(first.Start());
  REQUIRE(second.Start());
  const std::string prefix(fleet::kMembersPrefix);
  fleet::store_services services = store.Services();
  // Each page holds one member, and the first read of the second one fails.
  int failures = 1;
  services.range = [&](std::string_view, std::string_view after, auto done) {
    loop.After(milliseconds(1), [&, done, at_start = after.empty()] {
      if (!at_start && failures-- > 0) {
        return done(core::Failure(core::error_code::kStoreUnavailable, "lost"));
      }
      const std::string member = (at_start ? first : second).Address();
      done(fleet::store_page{
          .items = {{.key = prefix + member, .value = member, .revision = 3}},
          .has_more = at_start,
          .at = 3});
    });
  };
  fleet::leader_announcer announcer(
      loop, client, services, "weak",
      {.period = milliseconds(20), .retry = milliseconds(20)},
      {.strongest = [] { return std::int64_t{0}; },
       .on_member_status = [](const std::string&, const schema::fleet_standing&,
                              core::monotonic_time) {}});
  announcer.Start(7);
  CHECK(RunUntil(
      loop, [&reached] { return reached.size() == 2; }, milliseconds(2000)));
}

TEST_CASE("a leader that steps down in a round does not announce itself in it",
          "[fleet]") {
  net::event_loop loop;
  net::async_http_client client{loop, {}};
  fake_store store(loop);
  int announcements = 0;
  net::async_http_server member(
      loop, {.address = "127.0.0.1:0"},
      [&](const net::server_request&,
          const net::async_http_server::responder&) { ++announcements; });
  REQUIRE(member.Start());
  fleet::store_services services = store.Services();
  services.range = [&](std::string_view, std::string_view, auto done) {
    loop.After(milliseconds(1), [&, done] {
      done(fleet::store_page{
          .items = {{.key = std::string(fleet::kMembersPrefix),
                     .value = member.Address(),
                     .revision = 3}},
          .at = 3});
    });
  };
  int rounds = 0;
  std::optional<fleet::leader_announcer> announcer;
  announcer.emplace(loop, client, services, "weak",
                    fleet::leader_announcer_options{.period = milliseconds(20)},
                    fleet::leader_announcer_hooks{
                        .strongest = [] { return std::int64_t{0}; },
                        .on_member_status = [](const std::string&,
                                               const schema::fleet_standing&,
                                               core::monotonic_time) {},
                        .on_round =
                            [&](std::size_t) {
                              ++rounds;
                              announcer->Stop();
                            }});
  announcer->Start(7);
  REQUIRE(RunUntil(
      loop, [&rounds] { return rounds == 1; }, milliseconds(2000)));
  RunFor(loop, milliseconds(200));
  CHECK(announcements == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
