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

struct served {
  explicit served(net::async_http_server_options options = {}) {
    options.address = "127.0.0.1:0";
    server = std::make_unique<net::async_http_server>(
        loop, options,
        [this](net::server_request request,
               net::async_http_server::responder respond) {
          requests.push_back(request);
          if (silent) {
            held.push_back(std::move(respond));
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
  std::vector<net::async_http_server::responder> held;
  bool silent = false;
};

TEST_CASE("a request and its answer arrive whole", "[net]") {
  served site;
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

// Counts the passes of a loop that always has something else to do.
class busy_loop_counter {
 public:
  explicit busy_loop_counter(net::event_loop& loop) : loop_(loop) { Turn(); }

  int Passes() const { return passes_; }
  void Stop() { stopped_ = true; }

 private:
  void Turn() {
    if (stopped_) return;
    ++passes_;
    loop_.Post([this] { Turn(); });
  }

  net::event_loop& loop_;
  int passes_ = 0;
  bool stopped_ = false;
};

TEST_CASE("a large answer is not starved by a busy loop", "[net]") {
  served site;
  // A page of the store, and passes of 20 ms within the two seconds in which a
  // leaving executor has to be known.
  const std::string body(500'000, 'x');
  constexpr int kMostPasses = 100;
  busy_loop_counter busy(site.loop);
  int passes = 0;
  std::optional<core::result<net::http_reply>> reply;
  site.silent = true;
  site.client.Send(
      {.address = site.server->Address(), .method = "GET", .target = "/"},
      [&](core::result<net::http_reply> got) {
        passes = busy.Passes() - passes;
        reply = std::move(got);
      });
  REQUIRE(RunUntil(site.loop, [&site] { return !site.held.empty(); }));
  passes = busy.Passes();
  site.held.front()({.status = 200, .body = body});
  REQUIRE(RunUntil(site.loop, [&reply] { return reply.has_value(); }));
  busy.Stop();
  REQUIRE(*reply);
  CHECK((*reply)->body.size() == body.size());
  CHECK(passes <= kMostPasses);
}

TEST_CASE("a large request is not starved by a busy loop", "[net]") {
  const std::string body(500'000, 'x');
  served site({.limits = {.max_body_bytes = 2 * body.size()}});
  constexpr int kMostPasses = 100;
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
  CHECK(busy.Passes() <= kMostPasses);
}

TEST_CASE("an answer that does not come is an unknown outcome in time",
          "[net]") {
  served site;
  site.silent = true;
  const core::monotonic_time before = core::Now();
  const auto reply = site.Call(
      {.method = "POST", .target = "/", .timeout = milliseconds(100)});
  REQUIRE_FALSE(reply);
  CHECK(reply.error().code == core::error_code::kOutcomeUnknown);
  CHECK(core::Now() - before < milliseconds(2000));
}

TEST_CASE("a refused connection says that nothing was sent", "[net]") {
  served site;
  std::optional<core::result<net::http_reply>> reply;
  // Port 1 of this machine has no listener.
  site.client.Send(
      {.address = "127.0.0.1:1", .method = "GET", .target = "/"},
      [&reply](core::result<net::http_reply> got) { reply = std::move(got); });
  REQUIRE(RunUntil(site.loop, [&reply] { return reply.has_value(); }));
  REQUIRE_FALSE(*reply);
  CHECK(reply->error().code == core::error_code::kUnreachable);
}

TEST_CASE("bodies and headers over the limits get their own answer", "[net]") {
  served site({.limits = {.max_header_bytes = 1000, .max_body_bytes = 2000}});
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
    "idle callers beyond the limit are closed, the oldest first, and new "
    "ones are answered",
    "[net]") {
  served site({.max_connections = 8});
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

TEST_CASE("changed limits hold for the next request", "[net]") {
  served site;
  const net::http_call call{
      .method = "POST", .target = "/", .body = std::string(3000, 'x')};
  CHECK(site.Call(call)->status == 200);
  site.server->SetLimits({.max_body_bytes = 2000});
  // The connection that is open was set up with the old limits.
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

TEST_CASE("a request that trickles in is cut, an idle connection is not",
          "[net]") {
  served site({.limits = {.read_timeout = milliseconds(200),
                          .idle_timeout = milliseconds(20'000)}});
  raw_caller idle(site.server->Address());
  raw_caller slow(site.server->Address());
  REQUIRE(slow.Send("GET / HTTP/1.1\r\nHost: a\r\n"));
  CHECK(RunUntil(site.loop, [&slow] { return slow.HasInput(); }));
  CHECK_FALSE(idle.HasInput());
}

TEST_CASE("callers that wait together are not let in one at each turn",
          "[net]") {
  constexpr int kCallers = 100;
  served site;
  int answered = 0;
  for (int i = 0; i < kCallers; ++i) {
    site.client.Send({.address = site.server->Address(),
                      .method = "GET",
                      .target = "/",
                      .timeout = milliseconds(10'000)},
                     [&answered](const core::result<net::http_reply>& reply) {
                       answered += reply ? 1 : 0;
                     });
  }
  // Other work takes part in each turn of the loop.
  int turns = 0;
  std::function<void()> turn = [&] {
    ++turns;
    std::this_thread::sleep_for(milliseconds(1));
    if (answered < kCallers) site.loop.Post(turn);
  };
  site.loop.Post(turn);
  REQUIRE(RunUntil(site.loop, [&answered] { return answered == kCallers; }));
  CHECK(turns < kCallers / 2);
}

// A server with a loop and a thread of its own, which answers at once.
class prompt_server {
 public:
  prompt_server()
      : server_(loop_, {.address = "127.0.0.1:0"},
                [](const net::server_request& request,
                   const net::async_http_server::responder& respond) {
                  respond({.status = 200, .body = request.body});
                }) {
    REQUIRE(server_.Start());
    address = server_.Address();
    thread_ = std::thread([this] { loop_.Run(); });
  }
  prompt_server(const prompt_server&) = delete;
  prompt_server& operator=(const prompt_server&) = delete;
  ~prompt_server() {
    loop_.Post([this] { loop_.Stop(); });
    thread_.join();
  }

  std::string address;

 private:
  net::event_loop loop_;
  net::async_http_server server_;
  std::thread thread_;
};

TEST_CASE("calls whose answers came while the loop was late are not given up",
          "[net]") {
  constexpr int kCalls = 300;
  constexpr milliseconds kTimeout{100};
  constexpr milliseconds kStall{40};
  prompt_server server;
  net::event_loop loop;
  net::async_http_client client(loop, {});
  int answered = 0;
  int failed = 0;
  for (int i = 0; i < kCalls; ++i) {
    client.Send({.address = server.address,
                 .method = "POST",
                 .target = "/",
                 .body = "x",
                 .timeout = kTimeout},
                [&](const core::result<net::http_reply>& reply) {
                  ++(reply ? answered : failed);
                });
  }
  // The loop is busy for four fifths of the time, until all calls are over.
  std::function<void()> stall = [&] {
    std::this_thread::sleep_for(kStall);
    if (answered + failed < kCalls) loop.After(milliseconds(10), stall);
  };
  loop.Post([kTimeout] { std::this_thread::sleep_for(3 * kTimeout); });
  loop.Post(stall);
  REQUIRE(RunUntil(loop, [&] { return answered + failed == kCalls; }));
  CHECK(failed == 0);
}

TEST_CASE("an answer after the wait is handed over late, and only then",
          "[net]") {
  served site;
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
  REQUIRE(site.held.size() == 1);
  site.held[0]({.status = 200, .body = "late"});
  REQUIRE(RunUntil(site.loop, [&late] { return late.has_value(); }));
  CHECK(*late == "late");
}

}  // namespace
}  // namespace waxwingfront::tests
