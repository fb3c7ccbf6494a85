#include "waxwingfront/fleet/job_gateway.h"

#include <catch2/catch.hpp>
#include <optional>

#include "support/fleet_scene.h"
#include "support/loop_runner.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// A process without a leader of its own; calls to `leader` go nowhere.
struct lone_process {
  explicit lone_process(std::string leader)
      : gateway(loop, client,
                {.retry = milliseconds(10),
                 .attempt = milliseconds(50),
                 .patience = milliseconds(100)},
                {.local = [] { return nullptr; },
                 .leader = [leader = std::move(leader)] { return leader; },
                 .doubt = [] {},
                 .now = [] { return At(0); }}) {}

  core::result<schema::fleet_reply> Show(milliseconds time) {
    schema::fleet_request request;
    request.set_show("job");
    std::optional<core::result<schema::fleet_reply>> reply;
    gateway.Call(std::move(request), core::Now() + time,
                 [&reply](core::result<schema::fleet_reply> got) {
                   reply = std::move(got);
                 });
    REQUIRE(RunUntil(loop, [&reply] { return reply.has_value(); }));
    return *reply;
  }

  net::event_loop loop;
  net::async_http_client client{loop, {}};
  fleet::job_gateway gateway;
};

TEST_CASE("a call that reaches no leader is refused while its caller has time",
          "[fleet]") {
  lone_process process("");
  const core::monotonic_time before = core::Now();
  const auto reply = process.Show(milliseconds(30'000));
  REQUIRE_FALSE(reply);
  CHECK(reply.error().code == core::error_code::kNoOwner);
  CHECK(core::Now() - before < milliseconds(10'000));
}

TEST_CASE("a refused connection to the leader leaves the call undone",
          "[fleet]") {
  // Port 1 of this machine has no listener.
  lone_process process("127.0.0.1:1");
  const auto reply = process.Show(milliseconds(30'000));
  REQUIRE_FALSE(reply);
  CHECK(reply.error().code == core::error_code::kNoOwner);
}

}  // namespace
}  // namespace waxwingfront::tests
