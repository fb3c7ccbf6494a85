#include "waxwingfront/net/adaptive_timeout.h"

#include <catch2/catch.hpp>
#include <random>

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("timeouts follow the response times within their bounds", "[net]") {
  net::adaptive_timeout timeout({});
  CHECK(timeout.Current() == milliseconds(120));
  for (int i = 0; i < 100; ++i) timeout.RecordResponse(milliseconds(60));
  CHECK(timeout.Current() == milliseconds(300));
  for (int i = 0; i < 100; ++i) timeout.RecordResponse(milliseconds(400));
  CHECK(timeout.Current() == milliseconds(700));
}

TEST_CASE("timeouts double with each failure and recover with a response",
          "[net]") {
  net::adaptive_timeout timeout({});
  timeout.RecordResponse(milliseconds(10));
  timeout.RecordFailure();
  CHECK(timeout.Current() == milliseconds(240));
  timeout.RecordFailure();
  CHECK(timeout.Current() == milliseconds(480));
  for (int i = 0; i < 10; ++i) timeout.RecordFailure();
  CHECK(timeout.Current() == milliseconds(700));
  timeout.RecordResponse(milliseconds(10));
  CHECK(timeout.Current() == milliseconds(120));
}

// Returns the number of calls that succeed within 6 s while a third of the
// responses is lost, as on the platform.
int SuccessfulCalls(net::adaptive_timeout timeout) {
  constexpr int kLostPercent = 35;
  constexpr milliseconds kResponseTime{12};
  constexpr milliseconds kOutage{6000};
  std::mt19937 random(1);
  milliseconds now{0};
  int succeeded = 0;
  while (now < kOutage) {
    if (static_cast<int>(random() % 100) < kLostPercent) {
      now += timeout.Current();
      timeout.RecordFailure();
    } else {
      now += kResponseTime;
      timeout.RecordResponse(kResponseTime);
      ++succeeded;
    }
  }
  return succeeded;
}

TEST_CASE("lost responses cost little time where responses are fast", "[net]") {
  // Eleven jobs a second change their records six times each, and a transaction
  // carries 15 records, so 4.4 transactions a second are needed.
  constexpr int kNeeded = 27;
  CHECK(SuccessfulCalls(net::adaptive_timeout({})) >= kNeeded);
  CHECK(SuccessfulCalls(net::adaptive_timeout({.minimum = milliseconds(700)})) <
        kNeeded);
}

}  // namespace
}  // namespace waxwingfront::tests
