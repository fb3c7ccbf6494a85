// The end of the connections of an HTTP server.
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "support/loop_runner.h"
#include "support/no_descriptors.h"
#include "support/raw_caller.h"
#include "waxwingfront/net/async_http_server.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

struct server_fixture {
  explicit server_fixture(net::async_http_server_options options = {}) {
    options.address = "127.0.0.1:0";
    server = std::make_unique<net::async_http_server>(
        loop, options,
        [this](const net::server_request& request,
               net::async_http_server::responder respond) {
          if (hold) {
            held.push_back(std::move(respond));
          } else {
            respond({.body = request.target});
          }
        });
    REQUIRE(server->Start());
  }

  // Returns what `caller` receives until the end of its connection.
  std::string ReadAll(raw_caller& caller) {
    std::optional<std::string> text;
    std::thread reader([&] {
      std::string all = caller.ReadAll();
      loop.Post([&text, all] { text = all; });
    });
    RunUntil(loop, [&text] { return text.has_value(); });
    reader.join();
    return text.value_or("");
  }

  // Runs the loop until `caller` can read.
  bool AwaitInput(raw_caller& caller) {
    return RunUntil(loop, [&caller] { return caller.HasInput(); });
  }

  // As a process does at its end.
  void Finish() {
    RunUntil(loop, [this] { return server->Finish() == 0; });
  }

  net::event_loop loop;
  std::unique_ptr<net::async_http_server> server;
  std::vector<net::async_http_server::responder> held;
  bool hold = false;
};

int CountResponses(const std::string& text) {
  int count = 0;
  for (std::size_t at = text.find("HTTP/1.1 200"); at != std::string::npos;
       at = text.find("HTTP/1.1 200", at + 1)) {
    ++count;
  }
  return count;
}

TEST_CASE("a response is not lost if the closed connection has unread bytes",
          "[net]") {
  server_fixture site;
  site.hold = true;
  raw_caller caller(site.server->Address());
  REQUIRE(
      caller.Send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
  REQUIRE(RunUntil(site.loop, [&site] { return site.held.size() == 1; }));
  REQUIRE(caller.Send("more"));
  const std::string body(1'000'000, 'x');
  site.held.front()({.body = body});
  RunFor(site.loop, milliseconds(100));
  CHECK(site.ReadAll(caller).size() > body.size());
}

TEST_CASE("pipelined requests are all answered while draining", "[net]") {
  server_fixture site;
  raw_caller caller(site.server->Address());
  RunFor(site.loop, milliseconds(50));
  site.server->Drain();
  const std::string request = kRequest;
  REQUIRE(caller.Send(request + request + request));
  const std::string text = site.ReadAll(caller);
  CHECK(CountResponses(text) == 3);
  CHECK(text.find("Connection: close") != std::string::npos);
}

TEST_CASE("a request on an idle connection is answered while draining",
          "[net]") {
  server_fixture site;
  raw_caller caller(site.server->Address());
  RunFor(site.loop, milliseconds(50));
  site.server->Drain();
  RunFor(site.loop, milliseconds(500));
  REQUIRE(caller.Send(kRequest));
  CHECK(CountResponses(site.ReadAll(caller)) == 1);
}

TEST_CASE("requests that were sent before the response arrives are answered",
          "[net]") {
  server_fixture site;
  raw_caller caller(site.server->Address());
  RunFor(site.loop, milliseconds(50));
  site.server->Drain();
  REQUIRE(caller.Send(kRequest));
  REQUIRE(site.AwaitInput(caller));
  REQUIRE(caller.Send(kRequest));
  CHECK(CountResponses(site.ReadAll(caller)) == 2);
}

TEST_CASE("idle connections are closed at the end of draining", "[net]") {
  server_fixture site;
  raw_caller caller(site.server->Address());
  RunFor(site.loop, milliseconds(50));
  site.server->Drain();
  site.Finish();
  CHECK(caller.HasInput());
  CHECK(caller.ReadAll().empty());
}

using caller_list = std::vector<std::unique_ptr<raw_caller>>;

caller_list Callers(const server_fixture& site, int count) {
  caller_list callers;
  callers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    callers.push_back(std::make_unique<raw_caller>(site.server->Address()));
  }
  return callers;
}

TEST_CASE("requests that are unread at the end of draining are answered",
          "[net]") {
  server_fixture site;
  const caller_list callers = Callers(site, 20);
  RunFor(site.loop, milliseconds(50));
  site.server->Drain();
  // The event loop does not run here.
  for (const auto& caller : callers) REQUIRE(caller->Send(kRequest));
  raw_caller late(site.server->Address());
  REQUIRE(late.Send(kRequest));
  site.Finish();
  CHECK(site.server->Finish() == 0);
  for (const auto& caller : callers) {
    CHECK(CountResponses(caller->ReadAll()) == 1);
  }
  CHECK(CountResponses(late.ReadAll()) == 1);
}

// Guards against requests that are lost because a closed listener resets the
// connections that it has not accepted.
TEST_CASE("requests that wait for a descriptor are answered before the end",
          "[net]") {
  constexpr int kCallers = 20;
  server_fixture site;
  const caller_list idle = Callers(site, kCallers);
  RunFor(site.loop, milliseconds(50));
  // The event loop does not run here.
  const caller_list callers = Callers(site, kCallers);
  for (const auto& caller : callers) REQUIRE(caller->Send(kRequest));
  {
    const no_descriptors full;
    RunFor(site.loop, milliseconds(50));
    site.server->Drain();
    CHECK(site.server->HasUnansweredRequests());
    site.Finish();
    CHECK_FALSE(site.server->HasUnansweredRequests());
  }
  for (const auto& caller : callers) {
    CHECK(CountResponses(caller->ReadAll()) == 1);
  }
  for (const auto& caller : idle) CHECK(caller->ReadAll().empty());
}

TEST_CASE("many connections that are pending at the end are answered",
          "[net]") {
  server_fixture site;
  // The event loop does not run here.
  const caller_list callers = Callers(site, 300);
  for (const auto& caller : callers) REQUIRE(caller->Send(kRequest));
  site.server->Drain();
  site.Finish();
  for (const auto& caller : callers) {
    CHECK(CountResponses(caller->ReadAll()) == 1);
  }
}

TEST_CASE("a large response is written whole before the end", "[net]") {
  server_fixture site;
  site.hold = true;
  raw_caller caller(site.server->Address());
  REQUIRE(caller.Send(kRequest));
  RunUntil(site.loop, [&site] { return site.held.size() == 1; });
  site.server->Drain();
  const std::string body(8'000'000, 'x');
  site.held.front()({.body = body});
  std::string text;
  std::thread reader([&] { text = caller.ReadAll(); });
  site.Finish();
  reader.join();
  CHECK(text.size() > body.size());
}

}  // namespace
}  // namespace waxwingfront::tests
