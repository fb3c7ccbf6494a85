#include "waxwingfront/fleet/advice_pacer.h"

#include <catch2/catch.hpp>
#include <cstdint>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

fleet::advice_request Request(std::int64_t decision_ms,
                              std::int64_t valid_ms = 3000) {
  return {.step = {.job = "job"},
          .executors = {"a"},
          .figures = {.decision = core::milliseconds(decision_ms),
                      .per_executor = core::milliseconds(0),
                      .valid = core::milliseconds(valid_ms)}};
}

// Sends calls while allowed and returns their number.
int SendAll(fleet::advice_pacer& pacer, const fleet::advice_request& request) {
  int sent = 0;
  while (sent < 100 && pacer.MaySend(request, At(0).now)) {
    pacer.Sent(request, At(0).now);
    ++sent;
  }
  return sent;
}

TEST_CASE("short calls to the adviser overlap and long ones do not",
          "[fleet]") {
  const auto sent_with = [](std::int64_t decision_ms, std::int64_t valid_ms) {
    fleet::advice_pacer pacer({});
    return SendAll(pacer, Request(decision_ms, valid_ms));
  };
  CHECK(sent_with(1, 3000) == 16);
  CHECK(sent_with(30, 3000) == 4);
  CHECK(sent_with(180, 3000) == 2);
  CHECK(sent_with(1300, 3000) == 2);
  CHECK(sent_with(2000, 3000) == 1);
  CHECK(sent_with(180, 700) == 1);
}

TEST_CASE("the timeout of a call covers the calls before it", "[fleet]") {
  fleet::advice_pacer pacer({});
  const auto first = pacer.Sent(Request(1000), At(0).now);
  const auto second = pacer.Sent(Request(1000), At(0).now);
  CHECK(first.timeout == core::milliseconds(3000));
  CHECK(second.timeout == core::milliseconds(5000));
  SECTION("and follows a slow adviser") {
    pacer.Answered(first.number, At(3000).now);
    pacer.Answered(second.number, At(6000).now);
    CHECK(pacer.Sent(Request(1000), At(6000).now).timeout ==
          core::milliseconds(7000));
  }
  SECTION("and doubles after a failure") {
    pacer.Failed(first.number, At(3000).now);
    pacer.Failed(second.number, At(5000).now);
    CHECK(pacer.Sent(Request(1000), At(6000).now).timeout ==
          core::milliseconds(9000));
  }
}

TEST_CASE("tickets count from when the adviser can have handled their call",
          "[fleet]") {
  fleet::advice_pacer pacer({});
  const auto first = pacer.Sent(Request(500), At(0).now);
  const auto second = pacer.Sent(Request(500), At(0).now);
  CHECK(pacer.Answered(first.number, At(540).now) == At(0).now);
  CHECK(pacer.Answered(second.number, At(1040).now) == At(500).now);
}

TEST_CASE(
    "tickets of an adviser that is faster than stated count from its "
    "responses",
    "[fleet]") {
  fleet::advice_pacer pacer({});
  const auto first = pacer.Sent(Request(500), At(0).now);
  const auto second = pacer.Sent(Request(500), At(0).now);
  CHECK(pacer.Answered(first.number, At(50).now) == At(0).now);
  CHECK(pacer.Answered(second.number, At(90).now) == At(50).now);
}

TEST_CASE("after a failed call one call probes the adviser, after a pause",
          "[fleet]") {
  fleet::advice_pacer pacer({});
  const fleet::advice_request request = Request(10);
  const auto failed = pacer.Sent(request, At(0).now);
  pacer.Failed(failed.number, At(100).now);
  CHECK_FALSE(pacer.MaySend(request, At(120).now));
  REQUIRE(pacer.MaySend(request, At(200).now));
  const auto probe = pacer.Sent(request, At(200).now);
  CHECK_FALSE(pacer.MaySend(request, At(200).now));
  pacer.Answered(probe.number, At(230).now);
  CHECK(pacer.MaySend(request, At(230).now));
}

}  // namespace
}  // namespace waxwingfront::tests
