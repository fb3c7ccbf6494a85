#include "waxwingfront/fleet/job_gateway.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "support/fake_store.h"
#include "support/fleet_fixture.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/net/async_http_server.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// A process that does not lead; calls to `leader` reach no leader.
struct process_without_leader {
  explicit process_without_leader(std::string leader)
      : gateway(loop, client,
                {.retry = milliseconds(10),
                 .attempt_timeout = milliseconds(50),
                 .leader_search_timeout = milliseconds(100)},
                {.local = [] { return nullptr; },
                 .leader = [leader = std::move(leader)] { return leader; },
                 .recheck_leader = [] {},
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

TEST_CASE("a call that reaches no leader is rejected well before its deadline",
          "[fleet]") {
  process_without_leader process("");
  const core::monotonic_time before = core::Now();
  const auto reply = process.Show(milliseconds(30'000));
  REQUIRE_FALSE(reply);
  CHECK(reply.error().code == core::error_code::kNoOwner);
  CHECK(core::Now() - before < milliseconds(10'000));
}

TEST_CASE(
    "a refused connection to the leader does not make the outcome unknown",
    "[fleet]") {
  // Nothing listens on port 1 of this machine.
  process_without_leader process("127.0.0.1:1");
  const auto reply = process.Show(milliseconds(30'000));
  REQUIRE_FALSE(reply);
  CHECK(reply.error().code == core::error_code::kNoOwner);
}

// A remote leader that responds to calls when the test decides, and a process
// that calls it.
struct remote_leader {
  remote_leader()
      : server(loop, {.address = "127.0.0.1:0"},
               [this](const net::server_request&,
                      const net::async_http_server::responder& respond) {
                 responders.push_back(respond);
                 if (on_call) on_call(respond);
               }),
        gateway(loop, client,
                {.retry = milliseconds(10),
                 .overloaded_retry = milliseconds(10),
                 .attempt_timeout = milliseconds(50),
                 .leader_search_timeout = milliseconds(1000)},
                {.local = [] { return nullptr; },
                 .leader = [this] { return leader; },
                 .recheck_leader =
                     [this] {
                       if (on_recheck) on_recheck();
                     },
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
  std::vector<net::async_http_server::responder> responders;
  std::function<void(const net::async_http_server::responder&)> on_call;
  std::function<void()> on_recheck;
  std::string leader;
  std::vector<core::result<schema::fleet_reply>> replies;
  net::async_http_client client{loop, {}};
  net::async_http_server server;
  fleet::job_gateway gateway;
};

TEST_CASE("a slow leader is not flooded with retries", "[fleet]") {
  remote_leader remote;
  remote.on_call = [&remote](const net::async_http_server::responder& respond) {
    remote.loop.After(milliseconds(200), [respond] {
      respond(remote_leader::Reply(schema::FLEET_OK));
    });
  };
  remote.Cancel(milliseconds(1000));
  REQUIRE(RunUntil(remote.loop, [&remote] { return !remote.replies.empty(); }));
  CHECK(remote.replies[0]);
  CHECK(remote.responders.size() <= 2);
  // The response to the other attempt does not complete the call again.
  RunFor(remote.loop, milliseconds(300));
  CHECK(remote.replies.size() == 1);
  CHECK(remote.responders.size() <= 2);
}

TEST_CASE("a silent leader gets exactly two attempts of a call", "[fleet]") {
  remote_leader remote;
  remote.Cancel(milliseconds(500));
  REQUIRE(RunUntil(remote.loop, [&remote] { return !remote.replies.empty(); }));
  CHECK(remote.responders.size() == 2);
  REQUIRE_FALSE(remote.replies[0]);
  CHECK(remote.replies[0].error().code == core::error_code::kOutcomeUnknown);
}

TEST_CASE(
    "a late rejection of one attempt leaves the outcome of another unknown",
    "[fleet]") {
  remote_leader remote;
  remote.Cancel(milliseconds(500));
  REQUIRE(RunUntil(remote.loop,
                   [&remote] { return remote.responders.size() == 2; }));
  RunFor(remote.loop, milliseconds(100));
  remote.responders[0](remote_leader::Reply(schema::FLEET_OVERLOADED));
  // The rejected attempt is repeated.
  REQUIRE(RunUntil(remote.loop,
                   [&remote] { return remote.responders.size() == 3; }));
  remote.responders[2](remote_leader::Reply(schema::FLEET_NOT_LEADING));
  REQUIRE(RunUntil(remote.loop, [&remote] { return !remote.replies.empty(); }));
  REQUIRE_FALSE(remote.replies[0]);
  CHECK(remote.replies[0].error().code == core::error_code::kOutcomeUnknown);
}

// Guards against a caller who waits for room until its deadline.
TEST_CASE("a rejection for lack of room is passed on at once", "[fleet]") {
  remote_leader remote;
  remote.on_call = [](const net::async_http_server::responder& respond) {
    schema::fleet_reply reply;
    reply.set_outcome(schema::FLEET_OVERLOADED);
    reply.set_retry_after_ms(5000);
    respond({.status = 200, .body = reply.SerializeAsString()});
  };
  remote.Cancel(milliseconds(5000));
  REQUIRE(RunUntil(
      remote.loop, [&remote] { return !remote.replies.empty(); },
      milliseconds(1000)));
  REQUIRE(remote.replies[0]);
  CHECK(remote.replies[0]->outcome() == schema::FLEET_OVERLOADED);
  CHECK(remote.replies[0]->retry_after_ms() == 5000);
  CHECK(remote.responders.size() == 1);
}

TEST_CASE(
    "a late unknown-job response from a former leader does not end the call",
    "[fleet]") {
  remote_leader remote;
  remote.Cancel(milliseconds(500));
  REQUIRE(RunUntil(remote.loop,
                   [&remote] { return remote.responders.size() == 2; }));
  RunFor(remote.loop, milliseconds(100));
  remote.leader.clear();
  remote.responders[0](remote_leader::Reply(schema::FLEET_UNKNOWN_JOB));
  RunFor(remote.loop, milliseconds(50));
  CHECK(remote.replies.empty());
  remote.responders[1](remote_leader::Reply(schema::FLEET_OK));
  REQUIRE(RunUntil(remote.loop, [&remote] { return !remote.replies.empty(); }));
  CHECK(remote.replies[0]);
}

TEST_CASE(
    "attempts whose connections have closed do not block further attempts",
    "[fleet]") {
  Poco::Net::ServerSocket leader(Poco::Net::SocketAddress("127.0.0.1", 0));
  remote_leader remote;
  remote.leader = leader.address().toString();
  remote.Cancel(milliseconds(5000));
  RunFor(remote.loop, milliseconds(300));
  const Poco::Timespan soon(0, 500'000);
  for (int i = 0; i < 2; ++i) {
    REQUIRE(leader.poll(soon, Poco::Net::Socket::SELECT_READ));
    leader.acceptConnection().close();
  }
  CHECK_FALSE(leader.poll(0, Poco::Net::Socket::SELECT_READ));
  RunFor(remote.loop, milliseconds(100));
  CHECK(leader.poll(soon, Poco::Net::Socket::SELECT_READ));
  CHECK(remote.replies.empty());
}

// Guards against calls that stay with a process that no longer leads.
TEST_CASE("a call to a process that no longer leads reaches the next leader",
          "[fleet]") {
  const auto outcome =
      GENERATE(schema::FLEET_NOT_LEADING, schema::FLEET_OUTCOME_UNKNOWN);
  CAPTURE(outcome);
  remote_leader remote;
  int calls = 0;
  net::async_http_server next(
      remote.loop, {.address = "127.0.0.1:0"},
      [&calls](const net::server_request&,
               const net::async_http_server::responder& respond) {
        ++calls;
        respond(remote_leader::Reply(schema::FLEET_OK));
      });
  REQUIRE(next.Start());
  bool deposed = false;
  remote.on_call = [&](const net::async_http_server::responder& respond) {
    deposed = true;
    respond(remote_leader::Reply(outcome));
  };
  // The store names the next leader only once the first one is deposed.
  remote.on_recheck = [&] {
    if (deposed) remote.leader = next.Address();
  };
  remote.Cancel(milliseconds(5000));
  REQUIRE(RunUntil(
      remote.loop, [&remote] { return !remote.replies.empty(); },
      milliseconds(3000)));
  REQUIRE(remote.replies[0]);
  CHECK(remote.replies[0]->outcome() == schema::FLEET_OK);
  RunFor(remote.loop, milliseconds(200));
  CHECK(calls == 1);
  CHECK(remote.replies.size() == 1);
}

// A process that leads, with a store that can be made unavailable.
struct leading_process {
  // Revision of the leader key.
  static constexpr std::int64_t kToken = 2;

  explicit leading_process(const fleet::fleet_leader_options& options = {})
      : leader(loop, store, executors, kToken, core::Now(), options,
               {.may_order = [] { return true; },
                .on_deposed = [](std::string_view) {},
                .now = [] { return fleet::moment{.now = core::Now()}; }},
               log),
        gateway(
            loop, client, {},
            {.local = [this] { return &leader; },
             .leader = [] { return std::string(); },
             .recheck_leader = [] {},
             .confirm_leadership = [](const auto& done) { done(true); },
             .confirm_recent_leadership = [](const auto& done) { done(true); },
             .now = [] { return fleet::moment{.now = core::Now()}; },
             .on_work_refused =
                 [this](const std::string& job, const fleet::work_refusal&) {
                   refused.push_back(job);
                 }}) {
    platform.Put(std::string(fleet::kLeaderKey), "leader");
    REQUIRE(RunUntil(loop, [this] { return leader.Loaded(); }));
  }

  using reply = core::result<schema::fleet_reply>;

  void Call(schema::fleet_request request, milliseconds time) {
    gateway.Call(std::move(request), core::Now() + time,
                 [this](reply got) { replies.push_back(std::move(got)); });
  }

  void Submit(const std::string& id, milliseconds time) {
    Submit(JobOf(id, 1, 1000), time);
  }
  void Submit(const schema::fleet_job& job, milliseconds time) {
    schema::fleet_request request;
    *request.mutable_submit() = job;
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
  std::vector<std::string> refused;
  fleet::job_gateway gateway;
};

TEST_CASE("a job that cannot be stored before its deadline is rejected at once",
          "[fleet]") {
  leading_process process;
  process.platform.down = true;
  process.Submit("first", milliseconds(60'000));
  RunFor(process.loop, milliseconds(200));
  REQUIRE(process.replies.empty());
  // The first call has waited for less than half of a minute.
  process.Submit("long_deadline", milliseconds(60'000));
  process.Submit("first", milliseconds(300));
  RunFor(process.loop, milliseconds(20));
  CHECK(process.replies.empty());
  process.Submit("short_deadline", milliseconds(300));
  REQUIRE(process.replies.size() == 1);
  REQUIRE_FALSE(process.replies[0]);
  CHECK(process.replies[0].error().code == core::error_code::kOverloaded);
  CHECK_FALSE(process.leader.Core().HasJob("short_deadline"));
  // Cancellations are never rejected.
  schema::fleet_request cancel;
  cancel.set_cancel("first");
  process.Call(std::move(cancel), milliseconds(300));
  CHECK(process.replies.size() == 1);
}

// Guards against reads of the leader key by all processes while a leader loads.
TEST_CASE("a call to a leader that still loads does not look for another one",
          "[fleet]") {
  remote_leader remote;
  int rechecks = 0;
  remote.on_recheck = [&rechecks] { ++rechecks; };
  bool loading = true;
  remote.on_call = [&](const net::async_http_server::responder& respond) {
    schema::fleet_reply reply;
    reply.set_outcome(loading ? schema::FLEET_NOT_LEADING : schema::FLEET_OK);
    reply.set_loading(loading);
    respond({.status = 200, .body = reply.SerializeAsString()});
  };
  remote.Cancel(milliseconds(5000));
  RunFor(remote.loop, milliseconds(400));
  CHECK(remote.responders.size() > 3);
  CHECK(rechecks == 0);
  loading = false;
  REQUIRE(RunUntil(remote.loop, [&remote] { return !remote.replies.empty(); }));
  CHECK(remote.replies[0]);
}

schema::fleet_job BestEffortJob(const std::string& id) {
  schema::fleet_job job = JobOf(id, 1, 1000);
  job.mutable_steps(0)->set_fills(true);
  job.mutable_steps(0)->set_estimated_ms(60'000);
  return job;
}

// Guards against callers of an overloaded queue that wait until they are late.
TEST_CASE("a best-effort job that would stand still is rejected at once",
          "[fleet]") {
  fleet::fleet_leader_options options;
  options.core.work.overload_time = milliseconds(0);
  leading_process process(options);
  // No executor has room for it.
  process.Submit(BestEffortJob("first"), milliseconds(5000));
  RunFor(process.loop, milliseconds(600));
  REQUIRE(process.replies.size() == 1);
  REQUIRE(process.replies[0]);
  CHECK(process.replies[0]->outcome() == schema::FLEET_OK);
  process.Submit(BestEffortJob("second"), milliseconds(5000));
  REQUIRE(process.replies.size() == 2);
  REQUIRE(process.replies[1]);
  CHECK(process.replies[1]->outcome() == schema::FLEET_OVERLOADED);
  CHECK(process.replies[1]->retry_after_ms() >= 1000);
  CHECK(process.refused == std::vector<std::string>{"second"});
  CHECK_FALSE(process.leader.Core().HasJob("second"));
  // A job that was accepted before, and one that is not best-effort.
  process.Submit(BestEffortJob("first"), milliseconds(5000));
  process.Submit("ordinary", milliseconds(5000));
  REQUIRE(RunUntil(process.loop,
                   [&process] { return process.replies.size() == 4; }));
  REQUIRE(process.replies[2]);
  CHECK(process.replies[2]->outcome() == schema::FLEET_OK);
  REQUIRE(process.replies[3]);
  CHECK(process.replies[3]->outcome() == schema::FLEET_OK);
}

}  // namespace
}  // namespace waxwingfront::tests
