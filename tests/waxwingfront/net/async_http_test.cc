#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "support/loop_runner.h"
#include "support/raw_caller.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/async_http_server.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

struct http_fixture {
  explicit http_fixture(net::async_http_server_options options = {}) {
    options.address = "127.0.0.1:0";
    server = std::make_unique<net::async_http_server>(
        loop, options,
        [this](net::server_request request,
               net::async_http_server::responder respond) {
          requests.push_back(request);
          if (silent) {
            pending.push_back(std::move(respond));
            return;
          }
          respond({.status = 200, .body = request.body});
        });
    REQUIRE(server->Start());
  }

  core::result<net::http_reply> Call(net::http_call call) {
    call.address = server->Address();
    std::optional<core::result<net::http_reply>> reply;
    client.Send(std::move(call), [&reply](core::result<net::http_reply> got) {
      reply = std::move(got);
    });
    REQUIRE(RunUntil(loop, [&reply] { return reply.has_value(); }));
    return *reply;
  }

  net::event_loop loop;
  net::async_http_client client{loop, {}};
  std::unique_ptr<net::async_http_server> server;
  std::vector<net::server_request> requests;
  std::vector<net::async_http_server::responder> pending;
  bool silent = false;
};

TEST_CASE("a request and its response arrive whole", "[net]") {
  http_fixture site;
  const std::string body(100'000, 'x');
  const auto reply = site.Call({.method = "POST",
                                .target = "/a?b=c",
                                .host = "queue.example",
                                .headers = {{"Deadline-Ms", "500"}},
                                .body = body});
  REQUIRE(reply);
  CHECK(reply->status == 200);
  CHECK(reply->body == body);
  CHECK(site.requests[0].target == "/a?b=c");
  CHECK(site.requests[0].host == "queue.example");
  CHECK(site.requests[0].Header("deadline-ms") == "500");
}

// Counts the iterations of an event loop that always has other work queued.
class busy_loop_counter {
 public:
  explicit busy_loop_counter(net::event_loop& loop) : loop_(loop) { Iterate(); }

  int Iterations() const { return iterations_; }
  void Stop() { stopped_ = true; }

 private:
  void Iterate() {
    if (stopped_) return;
    ++iterations_;
    loop_.Post([this] { Iterate(); });
  }

  net::event_loop& loop_;
  int iterations_ = 0;
  bool stopped_ = false;
};

TEST_CASE("a large response is not starved by a busy event loop", "[net]") {
  http_fixture site;
  // A page of the store. With iterations of 20 ms the bound is the two seconds
  // within which a leaving executor has to be detected.
  const std::string body(500'000, 'x');
  constexpr int kMaxIterations = 100;
  busy_loop_counter busy(site.loop);
  int iterations = 0;
  std::optional<core::result<net::http_reply>> reply;
  site.silent = true;
  site.client.Send(
      {.address = site.server->Address(), .method = "GET", .target = "/"},
      [&](core::result<net::http_reply> got) {
        iterations = busy.Iterations() - iterations;
        reply = std::move(got);
      });
  REQUIRE(RunUntil(site.loop, [&site] { return !site.pending.empty(); }));
  iterations = busy.Iterations();
  site.pending.front()({.status = 200, .body = body});
  REQUIRE(RunUntil(site.loop, [&reply] { return reply.has_value(); }));
  busy.Stop();
  REQUIRE(*reply);
  CHECK((*reply)->body.size() == body.size());
  CHECK(iterations <= kMaxIterations);
}

TEST_CASE("a large request is not starved by a busy event loop", "[net]") {
  const std::string body(500'000, 'x');
  http_fixture site({.limits = {.max_body_bytes = 2 * body.size()}});
  constexpr int kMaxIterations = 100;
  std::optional<core::result<net::http_reply>> reply;
  busy_loop_counter busy(site.loop);
  site.client.Send({.address = site.server->Address(),
                    .method = "POST",
                    .target = "/",
                    .body = body},
                   [&](core::result<net::http_reply> got) {
                     busy.Stop();
                     reply = std::move(got);
                   });
  REQUIRE(RunUntil(site.loop, [&reply] { return reply.has_value(); }));
  REQUIRE(*reply);
  CHECK(site.requests[0].body.size() == body.size());
  CHECK(busy.Iterations() <= kMaxIterations);
}

TEST_CASE("a call without a response fails with an unknown outcome in time",
          "[net]") {
  http_fixture site;
  site.silent = true;
  const core::monotonic_time before = core::Now();
  const auto reply = site.Call(
      {.method = "POST", .target = "/", .timeout = milliseconds(100)});
  REQUIRE_FALSE(reply);
  CHECK(reply.error().code == core::error_code::kOutcomeUnknown);
  CHECK(core::Now() - before < milliseconds(2000));
}

TEST_CASE("connections to addresses that get no more calls are closed",
          "[net]") {
  http_fixture site;
  net::async_http_client client{site.loop, {.max_idle_time = milliseconds(50)}};
  std::optional<std::size_t> idle_after_call;
  client.Send(
      {.address = site.server->Address(), .method = "GET", .target = "/"},
      [&](const core::result<net::http_reply>&) {
        idle_after_call = client.Totals().idle;
      });
  REQUIRE(RunUntil(site.loop, [&] { return idle_after_call.has_value(); }));
  CHECK(idle_after_call == 1);
  CHECK(RunUntil(site.loop, [&client] { return client.Totals().idle == 0; }));
}

TEST_CASE("a refused connection is reported as unreachable", "[net]") {
  http_fixture site;
  std::optional<core::result<net::http_reply>> reply;
  // Port 1 of this machine has no listener.
  site.client.Send(
      {.address = "127.0.0.1:1", .method = "GET", .target = "/"},
      [&reply](core::result<net::http_reply> got) { reply = std::move(got); });
  REQUIRE(RunUntil(site.loop, [&reply] { return reply.has_value(); }));
  REQUIRE_FALSE(*reply);
  CHECK(reply->error().code == core::error_code::kUnreachable);
}

TEST_CASE("bodies and headers over the limits are rejected with 413 and 431",
          "[net]") {
  http_fixture site(
      {.limits = {.max_header_bytes = 1000, .max_body_bytes = 2000}});
  CHECK(
      site.Call(
              {.method = "POST", .target = "/", .body = std::string(3000, 'x')})
          ->status == 413);
  CHECK(site.Call({.method = "GET",
                   .target = "/",
                   .headers = {{"X", std::string(2000, 'x')}}})
            ->status == 431);
}

TEST_CASE(
    "idle connections beyond the limit are closed, the oldest first, and "
    "new callers are served",
    "[net]") {
  http_fixture site({.max_connections = 8});
  std::vector<std::unique_ptr<net::async_http_client>> callers;
  for (int i = 0; i < 40; ++i) {
    auto caller = std::make_unique<net::async_http_client>(
        site.loop, net::async_http_client_options{});
    std::optional<int> status;
    caller->Send(
        {.address = site.server->Address(), .method = "GET", .target = "/"},
        [&status](const core::result<net::http_reply>& reply) {
          status = reply ? reply->status : 0;
        });
    REQUIRE(RunUntil(site.loop, [&status] { return status.has_value(); }));
    CHECK(status == 200);
    callers.push_back(std::move(caller));
  }
}

TEST_CASE("changed limits apply to the next request", "[net]") {
  http_fixture site;
  const net::http_call call{
      .method = "POST", .target = "/", .body = std::string(3000, 'x')};
  CHECK(site.Call(call)->status == 200);
  site.server->SetLimits({.max_body_bytes = 2000});
  // The existing connection still uses the old limits.
  net::async_http_client other(site.loop, {});
  std::optional<int> status;
  net::http_call again = call;
  again.address = site.server->Address();
  other.Send(std::move(again),
             [&status](const core::result<net::http_reply>& reply) {
               status = reply ? reply->status : 0;
             });
  REQUIRE(RunUntil(site.loop, [&status] { return status.has_value(); }));
  CHECK(status == 413);
}

TEST_CASE("a slowly sent request is aborted, an idle connection is not",
          "[net]") {
  http_fixture site({.limits = {.read_timeout = milliseconds(200),
                                .idle_timeout = milliseconds(20'000)}});
  raw_caller idle(site.server->Address());
  raw_caller slow(site.server->Address());
  REQUIRE(slow.Send("GET / HTTP/1.1\r\nHost: a\r\n"));
  CHECK(RunUntil(site.loop, [&slow] { return slow.HasInput(); }));
  CHECK_FALSE(idle.HasInput());
}

TEST_CASE("pending connections are not accepted one per loop iteration",
          "[net]") {
  constexpr int kCallers = 100;
  http_fixture site;
  int succeeded = 0;
  for (int i = 0; i < kCallers; ++i) {
    site.client.Send({.address = site.server->Address(),
                      .method = "GET",
                      .target = "/",
                      .timeout = milliseconds(10'000)},
                     [&succeeded](const core::result<net::http_reply>& reply) {
                       succeeded += reply ? 1 : 0;
                     });
  }
  // Each iteration of the event loop also does other work.
  int loop_iterations = 0;
  std::function<void()> iterate = [&] {
    ++loop_iterations;
    std::this_thread::sleep_for(milliseconds(1));
    if (succeeded < kCallers) site.loop.Post(iterate);
  };
  site.loop.Post(iterate);
  REQUIRE(RunUntil(site.loop, [&succeeded] { return succeeded == kCallers; }));
  CHECK(loop_iterations < kCallers / 2);
}

// A server that responds at once, with its own event loop and thread.
class immediate_server {
 public:
  immediate_server()
      : server_(loop_, {.address = "127.0.0.1:0"},
                [](const net::server_request& request,
                   const net::async_http_server::responder& respond) {
                  respond({.status = 200, .body = request.body});
                }) {
    REQUIRE(server_.Start());
    address = server_.Address();
    thread_ = std::thread([this] { loop_.Run(); });
  }
  immediate_server(const immediate_server&) = delete;
  immediate_server& operator=(const immediate_server&) = delete;
  ~immediate_server() {
    loop_.Post([this] { loop_.Stop(); });
    thread_.join();
  }

  std::string address;

 private:
  net::event_loop loop_;
  net::async_http_server server_;
  std::thread thread_;
};

TEST_CASE("calls whose responses arrive while the loop is busy do not fail",
          "[net]") {
  constexpr int kCalls = 300;
  constexpr milliseconds kTimeout{100};
  constexpr milliseconds kStall{40};
  immediate_server server;
  net::event_loop loop;
  net::async_http_client client(loop, {});
  int succeeded = 0;
  int failed = 0;
  for (int i = 0; i < kCalls; ++i) {
    client.Send({.address = server.address,
                 .method = "POST",
                 .target = "/",
                 .body = "x",
                 .timeout = kTimeout},
                [&](const core::result<net::http_reply>& reply) {
                  ++(reply ? succeeded : failed);
                });
  }
  // The event loop is busy for four fifths of the time until all calls are
  // over.
  std::function<void()> stall = [&] {
    std::this_thread::sleep_for(kStall);
    if (succeeded + failed < kCalls) loop.After(milliseconds(10), stall);
  };
  loop.Post([kTimeout] { std::this_thread::sleep_for(3 * kTimeout); });
  loop.Post(stall);
  REQUIRE(RunUntil(loop, [&] { return succeeded + failed == kCalls; }));
  CHECK(failed == 0);
}

TEST_CASE("a response after the timeout goes to the late response handler",
          "[net]") {
  http_fixture site;
  site.silent = true;
  std::optional<core::result<net::http_reply>> reply;
  std::optional<std::string> late;
  site.client.Send(
      {.address = site.server->Address(),
       .method = "POST",
       .target = "/",
       .timeout = milliseconds(50),
       .late_response_timeout = milliseconds(5000),
       .on_late_response =
           [&late](net::http_reply got) { late = std::move(got.body); }},
      [&reply](core::result<net::http_reply> got) {
        CHECK_FALSE(reply);
        reply = std::move(got);
      });
  REQUIRE(RunUntil(site.loop, [&reply] { return reply.has_value(); }));
  CHECK_FALSE(*reply);
  CHECK_FALSE(late);
  REQUIRE(site.pending.size() == 1);
  site.pending[0]({.status = 200, .body = "late"});
  REQUIRE(RunUntil(site.loop, [&late] { return late.has_value(); }));
  CHECK(*late == "late");
}

}  // namespace
}  // namespace waxwingfront::tests
