#include "waxwingfront/fleet/job_gateway.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "support/fake_store.h"
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

// A process that leads, with a store that can be taken away.
struct leading_process {
  leading_process()
      : leader(loop, store, executors, 7, core::Now(), {},
               {.may_order = [] { return true; },
                .on_deposed = [](std::string_view) {},
                .now = [] { return fleet::moment{.now = core::Now()}; }},
               log),
        gateway(loop, client, {},
                {.local = [this] { return &leader; },
                 .leader = [] { return std::string(); },
                 .doubt = [] {},
                 .now = [] { return fleet::moment{.now = core::Now()}; }}) {
    REQUIRE(RunUntil(loop, [this] { return leader.Loaded(); }));
  }

  using reply = core::result<schema::fleet_reply>;

  void Call(schema::fleet_request request, milliseconds time) {
    gateway.Call(std::move(request), core::Now() + time,
                 [this](reply got) { replies.push_back(std::move(got)); });
  }

  void Submit(const std::string& id, milliseconds time) {
    schema::fleet_request request;
    *request.mutable_submit() = JobOf(id, 1, 1000);
    Call(std::move(request), time);
  }

  net::event_loop loop;
  net::async_http_client client{loop, {}};
  fake_store platform{loop};
  fleet::store_services store = platform.Services();
  fleet::executor_services executors;
  logging::event_log log{{.descriptor = -1}};
  fleet::fleet_leader leader;
  std::vector<reply> replies;
  fleet::job_gateway gateway;
};

TEST_CASE("a job that cannot be stored in its caller's time is refused at once",
          "[fleet]") {
  leading_process process;
  process.platform.down = true;
  process.Submit("first", milliseconds(60'000));
  RunFor(process.loop, milliseconds(200));
  REQUIRE(process.replies.empty());
  // Half of a minute is more than the first one has waited.
  process.Submit("patient", milliseconds(60'000));
  process.Submit("first", milliseconds(300));
  RunFor(process.loop, milliseconds(20));
  CHECK(process.replies.empty());
  process.Submit("hopeless", milliseconds(300));
  REQUIRE(process.replies.size() == 1);
  REQUIRE_FALSE(process.replies[0]);
  CHECK(process.replies[0].error().code == core::error_code::kOverloaded);
  CHECK_FALSE(process.leader.Core().Knows("hopeless"));
  // Cancels are never refused.
  schema::fleet_request cancel;
  cancel.set_cancel("first");
  process.Call(std::move(cancel), milliseconds(300));
  CHECK(process.replies.size() == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
