#include "waxwingfront/fleet/job_gateway.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "support/fake_store.h"
#include "support/fleet_fixture.h"
#include "support/loop_runner.h"
#include "waxwingfront/net/async_http_server.h"

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

// A leader elsewhere, which answers each call when a test says so, and a
// process that calls it.
struct remote_leader {
  remote_leader()
      : server(loop, {.address = "127.0.0.1:0"},
               [this](const net::server_request&,
                      const net::async_http_server::responder& respond) {
                 held.push_back(respond);
                 if (on_call) on_call(respond);
               }),
        gateway(loop, client,
                {.retry = milliseconds(10),
                 .overloaded_retry = milliseconds(10),
                 .attempt = milliseconds(50),
                 .patience = milliseconds(1000)},
                {.local = [] { return nullptr; },
                 .leader = [this] { return leader; },
                 .doubt = [] {},
                 .now = [] { return At(0); }}) {
    REQUIRE(server.Start());
    leader = server.Address();
  }

  void Cancel(milliseconds time) {
    schema::fleet_request request;
    request.set_cancel("job");
    gateway.Call(std::move(request), core::Now() + time,
                 [this](core::result<schema::fleet_reply> reply) {
                   replies.push_back(std::move(reply));
                 });
  }

  static net::server_response Reply(schema::fleet_outcome outcome) {
    schema::fleet_reply reply;
    reply.set_outcome(outcome);
    return {.status = 200, .body = reply.SerializeAsString()};
  }

  net::event_loop loop;
  std::vector<net::async_http_server::responder> held;
  std::function<void(const net::async_http_server::responder&)> on_call;
  std::string leader;
  std::vector<core::result<schema::fleet_reply>> replies;
  net::async_http_client client{loop, {}};
  net::async_http_server server;
  fleet::job_gateway gateway;
};

TEST_CASE("a leader that answers late is not called over and over", "[fleet]") {
  remote_leader site;
  site.on_call = [&site](const net::async_http_server::responder& respond) {
    site.loop.After(milliseconds(200), [respond] {
      respond(remote_leader::Reply(schema::FLEET_OK));
    });
  };
  site.Cancel(milliseconds(1000));
  REQUIRE(RunUntil(site.loop, [&site] { return !site.replies.empty(); }));
  CHECK(site.replies[0]);
  CHECK(site.held.size() <= 2);
  // The answer to the other attempt ends nothing a second time.
  RunFor(site.loop, milliseconds(300));
  CHECK(site.replies.size() == 1);
  CHECK(site.held.size() <= 2);
}

TEST_CASE("a silent leader is called on a second connection and no more",
          "[fleet]") {
  remote_leader site;
  site.Cancel(milliseconds(500));
  REQUIRE(RunUntil(site.loop, [&site] { return !site.replies.empty(); }));
  CHECK(site.held.size() == 2);
  REQUIRE_FALSE(site.replies[0]);
  CHECK(site.replies[0].error().code == core::error_code::kOutcomeUnknown);
}

TEST_CASE("a late refusal of one attempt does not deny the other", "[fleet]") {
  remote_leader site;
  site.Cancel(milliseconds(500));
  REQUIRE(RunUntil(site.loop, [&site] { return site.held.size() == 2; }));
  RunFor(site.loop, milliseconds(100));
  site.held[0](remote_leader::Reply(schema::FLEET_OVERLOADED));
  // The refused attempt is made anew.
  REQUIRE(RunUntil(site.loop, [&site] { return site.held.size() == 3; }));
  site.held[2](remote_leader::Reply(schema::FLEET_NOT_LEADING));
  REQUIRE(RunUntil(site.loop, [&site] { return !site.replies.empty(); }));
  REQUIRE_FALSE(site.replies[0]);
  CHECK(site.replies[0].error().code == core::error_code::kOutcomeUnknown);
}

TEST_CASE("a former leader that late knows no such job ends no call",
          "[fleet]") {
  remote_leader site;
  site.Cancel(milliseconds(500));
  REQUIRE(RunUntil(site.loop, [&site] { return site.held.size() == 2; }));
  RunFor(site.loop, milliseconds(100));
  site.leader.clear();
  site.held[0](remote_leader::Reply(schema::FLEET_UNKNOWN_JOB));
  RunFor(site.loop, milliseconds(50));
  CHECK(site.replies.empty());
  site.held[1](remote_leader::Reply(schema::FLEET_OK));
  REQUIRE(RunUntil(site.loop, [&site] { return !site.replies.empty(); }));
  CHECK(site.replies[0]);
}

TEST_CASE("closed connections of unanswered attempts free the way for another",
          "[fleet]") {
  Poco::Net::ServerSocket leader(Poco::Net::SocketAddress("127.0.0.1", 0));
  remote_leader site;
  site.leader = leader.address().toString();
  site.Cancel(milliseconds(5000));
  RunFor(site.loop, milliseconds(300));
  const Poco::Timespan soon(0, 500'000);
  for (int i = 0; i < 2; ++i) {
    REQUIRE(leader.poll(soon, Poco::Net::Socket::SELECT_READ));
    leader.acceptConnection().close();
  }
  CHECK_FALSE(leader.poll(0, Poco::Net::Socket::SELECT_READ));
  RunFor(site.loop, milliseconds(100));
  CHECK(leader.poll(soon, Poco::Net::Socket::SELECT_READ));
  CHECK(site.replies.empty());
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
  CHECK_FALSE(process.leader.Core().HasJob("hopeless"));
  // Cancels are never refused.
  schema::fleet_request cancel;
  cancel.set_cancel("first");
  process.Call(std::move(cancel), milliseconds(300));
  CHECK(process.replies.size() == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
