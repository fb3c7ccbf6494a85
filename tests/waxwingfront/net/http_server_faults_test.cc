// The HTTP server in adverse conditions.
#include <catch2/catch.hpp>
#include <ctime>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "support/loop_runner.h"
#include "support/no_descriptors.h"
#include "support/raw_caller.h"
#include "waxwingfront/net/async_http_server.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

struct server_fixture {
  explicit server_fixture(net::async_http_server_options options = {}) {
    options.address = "127.0.0.1:0";
    server = std::make_unique<net::async_http_server>(
        loop, options,
        [this](const net::server_request& request,
               const net::async_http_server::responder& respond) {
          ++requests;
          if (request.target == "/fails") throw std::runtime_error("bad luck");
          respond({});
        });
    REQUIRE(server->Start());
  }

  net::event_loop loop;
  std::unique_ptr<net::async_http_server> server;
  int requests = 0;
};

TEST_CASE("a connection in the middle of a request is not closed as idle",
          "[net]") {
  constexpr int kCallers = 4;
  const std::size_t sent = kRequest.size() / 2;
  server_fixture site({.max_connections = kCallers});
  std::vector<std::unique_ptr<raw_caller>> slow;
  std::vector<std::unique_ptr<raw_caller>> idle;
  slow.reserve(kCallers);
  idle.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    slow.push_back(std::make_unique<raw_caller>(site.server->Address()));
    REQUIRE(slow.back()->Send(kRequest.substr(0, sent)));
  }
  RunFor(site.loop, milliseconds(50));
  for (int i = 0; i < kCallers; ++i) {
    idle.push_back(std::make_unique<raw_caller>(site.server->Address()));
  }
  RunFor(site.loop, milliseconds(50));
  for (const auto& caller : slow) caller->Send(kRequest.substr(sent));
  RunFor(site.loop, milliseconds(50));
  CHECK(site.requests == kCallers);
}

TEST_CASE("a request whose handling throws is answered with 500", "[net]") {
  std::string cause;
  server_fixture site(
      {.on_exception = [&cause](std::string_view what) { cause = what; }});
  raw_caller caller(site.server->Address());
  REQUIRE(
      caller.Send("GET /fails HTTP/1.1\r\nHost: a\r\n\r\n"
                  "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
  CHECK(RunUntil(site.loop, [&site] { return site.requests == 2; }));
  RunFor(site.loop, milliseconds(50));
  const std::string text = caller.ReadAll();
  CHECK(text.starts_with("HTTP/1.1 500"));
  CHECK(text.find("HTTP/1.1 200") != std::string::npos);
  CHECK(cause == "bad luck");
}

TEST_CASE("a handler that throws does not end the event loop", "[net]") {
  net::event_loop loop;
  std::vector<std::string> causes;
  loop.on_exception = [&causes](std::string_view cause) {
    causes.emplace_back(cause);
  };
  bool later = false;
  loop.Post([] { throw std::runtime_error("bad luck"); });
  loop.Post([&later] { later = true; });
  CHECK(RunUntil(loop, [&later] { return later; }));
  CHECK(causes == std::vector<std::string>{"bad luck"});
}

double ThreadCpuSeconds() {
  constexpr double kNsPerSecond = 1e9;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNsPerSecond;
}

TEST_CASE("a server without free descriptors waits for one without spinning",
          "[net]") {
  constexpr double kMaxCpuSeconds = 0.2;
  server_fixture site;
  RunFor(site.loop, milliseconds(50));
  raw_caller caller(site.server->Address());
  const double start = ThreadCpuSeconds();
  {
    const no_descriptors full;
    RunFor(site.loop, milliseconds(1000));
  }
  CHECK(ThreadCpuSeconds() - start < kMaxCpuSeconds);
  REQUIRE(caller.Send(kRequest));
  CHECK(RunUntil(site.loop, [&caller] { return caller.HasInput(); }));
}

}  // namespace
}  // namespace waxwingfront::tests
