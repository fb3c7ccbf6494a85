#include "waxwingfront/fleet/leader_announcer.h"

#include <catch2/catch.hpp>
#include <string>

#include "support/fake_store.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/leader_choice.h"
#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/async_http_server.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("a leader on a slow link still learns who is stronger and ready",
          "[fleet]") {
  const milliseconds delay = GENERATE(milliseconds(800), milliseconds(1600));
  net::event_loop loop;
  net::async_http_client client{loop, {}};
  fake_store store(loop);
  const fleet::store_services services = store.Services();
  schema::fleet_standing standing;
  standing.set_strength(900);
  standing.set_ready(true);
  net::async_http_server strong(
      loop, {.address = "127.0.0.1:0"},
      [&](const net::server_request&,
          net::async_http_server::responder respond) {
        loop.After(delay, [&standing, respond = std::move(respond)] {
          respond({.body = standing.SerializeAsString()});
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
       .on_answer =
           [&](const std::string& address, const schema::fleet_standing& answer,
               core::monotonic_time asked) {
             CHECK(core::Now() - asked >= delay);
             choice.OnStanding(
                 address,
                 {.strength = answer.strength(), .ready = answer.ready()},
                 asked);
             successor = choice.Successor(core::Now()).value_or("");
           }});
  announcer.Start(1);
  CHECK(RunUntil(
      loop, [&] { return successor == strong.Address(); }, milliseconds(4000)));
}

}  // namespace
}  // namespace waxwingfront::tests
