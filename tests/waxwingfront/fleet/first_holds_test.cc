#include "waxwingfront/fleet/first_holds.h"

#include <catch2/catch.hpp>

namespace waxwingfront::tests {
namespace {

using fleet::hold_urgency;

TEST_CASE("slow links carry fewer first holds at a time", "[fleet]") {
  const fleet::first_holds_options options;
  CHECK(fleet::FirstHoldsInFlight(0, options) == options.most_in_flight);
  CHECK(fleet::FirstHoldsInFlight(1000, options) == options.most_in_flight);
  CHECK(fleet::FirstHoldsInFlight(200, options) == options.most_in_flight);
  CHECK(fleet::FirstHoldsInFlight(0.1, options) == options.least_in_flight);
  // 50 ms of 10 Mbit/s are 62,500 bytes.
  CHECK(fleet::FirstHoldsInFlight(10, options) == 62'500 / options.bytes);
}

TEST_CASE("a late leader on a slow link reaches a fleet before its runs lapse",
          "[fleet]") {
  // Answers take this long where the loop is late, and the former leader's
  // holds reach 7 s: half of that is left for the claim and for the records.
  constexpr double kAnswerSeconds = 0.3;
  constexpr double kLongestSeconds = 3.5;
  constexpr double kExecutors = 490;
  const std::size_t at_once = fleet::FirstHoldsInFlight(10, {});
  CHECK(kExecutors / static_cast<double>(at_once) * kAnswerSeconds <=
        kLongestSeconds);
}

TEST_CASE("first holds go by urgency and then in turn, a few at a time",
          "[fleet]") {
  fleet::first_holds firsts(2);
  firsts.Add("dead", hold_urgency::kRepeated);
  firsts.Add("new", hold_urgency::kNew);
  firsts.Add("newer", hold_urgency::kNew);
  firsts.Add("runs", hold_urgency::kRuns);
  firsts.Add("new", hold_urgency::kNew);
  CHECK(firsts.Take() == "runs");
  CHECK(firsts.Take() == "new");
  CHECK_FALSE(firsts.Take());
  firsts.Over();
  CHECK(firsts.Take() == "newer");
  firsts.Over();
  CHECK(firsts.Take() == "dead");
  firsts.Over();
  CHECK_FALSE(firsts.Take());
}

}  // namespace
}  // namespace waxwingfront::tests
