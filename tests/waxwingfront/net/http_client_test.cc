// Errors that the HTTP client reports for failed calls.
#include "waxwingfront/net/http_client.h"

#include <atomic>
#include <catch2/catch.hpp>

#include "support/call_gate.h"
#include "support/child_process.h"
#include "waxwingfront/standins/http_service.h"

namespace waxwingfront::tests {
namespace {

using core::error_code;

// Guards against reporting "unreachable" for a call that the server may have
// carried out, and against a hidden retry.
TEST_CASE("http client distinguishes unsent calls from calls without response",
          "[net]") {
  SECTION("nobody listens") {
    net::http_client client({.address = FreeAddress()});
    CHECK(client.Send("POST", "/", "{}").error().code ==
          error_code::kUnreachable);
  }
  SECTION("the connection is closed without a response") {
    std::atomic<int> calls{0};
    const standins::http_service service(
        "127.0.0.1:0", [&calls](const standins::http_call& /*call*/) {
          ++calls;
          return standins::http_response{.drop = true};
        });
    net::http_client client({.address = service.Address()});
    CHECK(client.Send("POST", "/", "{}").error().code ==
          error_code::kOutcomeUnknown);
    CHECK(calls == 1);
  }
  SECTION("the response does not arrive in time") {
    call_gate gate;
    const standins::http_service service(
        "127.0.0.1:0", [&gate](const standins::http_call& /*call*/) {
          gate.Pass();
          return standins::http_response{};
        });
    net::http_client client(
        {.address = service.Address(), .timeout = core::milliseconds(100)});
    CHECK(client.Send("POST", "/", "{}").error().code ==
          error_code::kOutcomeUnknown);
    gate.Open();
  }
}

// Guards against a response that is returned to a later call on the same
// connection.
TEST_CASE("http client does not reuse a connection with a pending response",
          "[net]") {
  call_gate gate;
  const standins::http_service service(
      "127.0.0.1:0", [&gate](const standins::http_call& call) {
        if (call.path == "/slow") gate.Pass();
        return standins::http_response{.body = call.path};
      });
  net::http_client client(
      {.address = service.Address(), .timeout = core::milliseconds(300)});
  REQUIRE(client.Send("GET", "/first", "").has_value());
  CHECK_FALSE(client.Send("GET", "/slow", "").has_value());
  gate.Open();
  const auto reply = client.Send("GET", "/next", "");
  REQUIRE(reply.has_value());
  CHECK(reply->body == "/next");
}

}  // namespace
}  // namespace waxwingfront::tests
