#include "waxwingfront/net/adaptive_timeout.h"

#include <catch2/catch.hpp>
#include <random>

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("waits follow the time that answers take, within their bounds",
          "[net]") {
  net::adaptive_timeout wait({});
  CHECK(wait.Current() == milliseconds(120));
  for (int i = 0; i < 100; ++i) wait.RecordResponse(milliseconds(60));
  CHECK(wait.Current() == milliseconds(300));
  for (int i = 0; i < 100; ++i) wait.RecordResponse(milliseconds(400));
  CHECK(wait.Current() == milliseconds(700));
}

TEST_CASE("waits double while nothing is answered, and return with an answer",
          "[net]") {
  net::adaptive_timeout wait({});
  wait.RecordResponse(milliseconds(10));
  wait.RecordFailure();
  CHECK(wait.Current() == milliseconds(240));
  wait.RecordFailure();
  CHECK(wait.Current() == milliseconds(480));
  for (int i = 0; i < 10; ++i) wait.RecordFailure();
  CHECK(wait.Current() == milliseconds(700));
  wait.RecordResponse(milliseconds(10));
  CHECK(wait.Current() == milliseconds(120));
}

// A third of the answers is lost for 6 s, as on the platform's days.
int CallsAnswered(net::adaptive_timeout wait) {
  constexpr int kLostInHundred = 35;
  constexpr milliseconds kAnswer{12};
  constexpr milliseconds kOutage{6000};
  std::mt19937 random(1);
  milliseconds now{0};
  int answered = 0;
  while (now < kOutage) {
    if (static_cast<int>(random() % 100) < kLostInHundred) {
      now += wait.Current();
      wait.RecordFailure();
    } else {
      now += kAnswer;
      wait.RecordResponse(kAnswer);
      ++answered;
    }
  }
  return answered;
}

TEST_CASE("lost answers cost little where answers are quick", "[net]") {
  // Eleven jobs a second change their records six times each, and a transaction
  // carries 15 records: 4.4 transactions a second keep up.
  constexpr int kNeeded = 27;
  CHECK(CallsAnswered(net::adaptive_timeout({})) >= kNeeded);
  CHECK(CallsAnswered(net::adaptive_timeout({.minimum = milliseconds(700)})) <
        kNeeded);
}

}  // namespace
}  // namespace waxwingfront::tests
