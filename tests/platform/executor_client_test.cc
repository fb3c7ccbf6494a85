#include "platform/executor_client.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>

#include "support/loop_runner.h"
#include "waxwingfront/net/async_http_server.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;
using fleet::order_status;
using fleet::start_outcome;

// An executor that sends the same response to every call.
struct fixed_executor {
  explicit fixed_executor(int status, std::string body = R"({"clock_ms":1})")
      : server(loop, {.address = "127.0.0.1:0"},
               [status, body = std::move(body)](
                   const net::server_request&,
                   const net::async_http_server::responder& respond) {
                 respond({.status = status, .body = body});
               }) {
    REQUIRE(server.Start());
    services = platform::MakeExecutorServices(client, server.Address());
  }

  start_outcome Start() {
    std::optional<start_outcome> got;
    services.start(server.Address(),
                   {.executor = "e", .task = {.job = "j"}, .run = 1}, 7, 1000,
                   [&got](start_outcome outcome) { got = outcome; });
    REQUIRE(RunUntil(loop, [&got] { return got.has_value(); }));
    return *got;
  }

  order_status Stop() {
    std::optional<order_status> got;
    services.stop(server.Address(),
                  {.executor = "e", .task = {.job = "j"}, .run = 1}, 7,
                  [&got](order_status status) { got = status; });
    REQUIRE(RunUntil(loop, [&got] { return got.has_value(); }));
    return *got;
  }

  order_status Pace() {
    std::optional<order_status> got;
    services.pace(server.Address(),
                  {.executor = "e", .task = {.job = "j"}, .run = 1}, 7,
                  [&got](order_status status) { got = status; });
    REQUIRE(RunUntil(loop, [&got] { return got.has_value(); }));
    return *got;
  }

  core::error_code HoldError() {
    std::optional<core::result<fleet::hold_report>> got;
    services.hold({.address = server.Address(), .executor = "e", .token = 7},
                  [&got](core::result<fleet::hold_report> report) {
                    got = std::move(report);
                  });
    REQUIRE(RunUntil(loop, [&got] { return got.has_value(); }));
    REQUIRE_FALSE(*got);
    return got->error().code;
  }

  core::error_code AdviceError() {
    std::optional<core::result<fleet::advice_reply>> got;
    services.advise({.step = {.job = "j"},
                     .executors = {"e"},
                     .timeout = core::milliseconds(3000)},
                    [&got](core::result<fleet::advice_reply> reply) {
                      got = std::move(reply);
                    });
    REQUIRE(RunUntil(loop, [&got] { return got.has_value(); }));
    REQUIRE_FALSE(*got);
    return got->error().code;
  }

  net::event_loop loop;
  net::async_http_server server;
  net::async_http_client client{loop, {}};
  fleet::executor_services services;
};

TEST_CASE("an unlisted status of a start is not taken for a rejection",
          "[platform]") {
  const int status = GENERATE(201, 202, 404, 408, 412, 500, 502, 504);
  CAPTURE(status);
  CHECK(fixed_executor(status).Start() == start_outcome::kUnclear);
}

TEST_CASE("listed statuses of a start say that nothing was done",
          "[platform]") {
  CHECK(fixed_executor(200).Start() == start_outcome::kAccepted);
  CHECK(fixed_executor(400).Start() == start_outcome::kMalformed);
  CHECK(fixed_executor(421).Start() == start_outcome::kIncarnationChanged);
  CHECK(fixed_executor(429).Start() == start_outcome::kUnhealthy);
  CHECK(fixed_executor(503).Start() == start_outcome::kUnhealthy);
  CHECK(fixed_executor(409, R"({"reason":"fence"})").Start() ==
        start_outcome::kFenced);
  CHECK(fixed_executor(409, R"({"reason":"room"})").Start() ==
        start_outcome::kNoCapacity);
}

TEST_CASE("an unlisted status confirms no other call", "[platform]") {
  const int status = GENERATE(201, 202, 404, 500, 502, 504);
  CAPTURE(status);
  CHECK(fixed_executor(status).Stop() == order_status::kFailed);
  CHECK(fixed_executor(status).Pace() == order_status::kFailed);
  CHECK(fixed_executor(status).HoldError() == core::error_code::kProtocol);
  CHECK(fixed_executor(status).AdviceError() == core::error_code::kProtocol);
}

}  // namespace
}  // namespace waxwingfront::tests
