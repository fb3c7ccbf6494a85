#include "waxwingfront/fleet/first_hold_queue.h"

#include <catch2/catch.hpp>
#include <string>

namespace waxwingfront::tests {
namespace {

using fleet::hold_urgency;

TEST_CASE("slow links carry fewer concurrent first holds", "[fleet]") {
  const fleet::first_hold_queue_options options;
  CHECK(fleet::MaxFirstHoldsInFlight(0, options) == options.max_in_flight);
  CHECK(fleet::MaxFirstHoldsInFlight(1000, options) == options.max_in_flight);
  CHECK(fleet::MaxFirstHoldsInFlight(200, options) == options.max_in_flight);
  CHECK(fleet::MaxFirstHoldsInFlight(0.1, options) == options.min_in_flight);
  // 50 ms of 10 Mbit/s are 62,500 bytes.
  CHECK(fleet::MaxFirstHoldsInFlight(10, options) == 62'500 / options.bytes);
}

TEST_CASE("a lagging leader on a slow link reaches its fleet before runs lapse",
          "[fleet]") {
  // Responses take this long while the event loop lags. The former leader's
  // holds have a lease of 7 s, of which claiming the leadership and loading the
  // records may take half.
  constexpr double kResponseSeconds = 0.3;
  constexpr double kMaxSeconds = 3.5;
  constexpr double kExecutors = 490;
  const std::size_t at_once = fleet::MaxFirstHoldsInFlight(10, {});
  CHECK(kExecutors / static_cast<double>(at_once) * kResponseSeconds <=
        kMaxSeconds);
}

TEST_CASE(
    "first holds are sent by urgency, then in arrival order, within a limit",
    "[fleet]") {
  fleet::first_hold_queue first_holds(2);
  first_holds.Add("dead", hold_urgency::kRetry);
  first_holds.Add("new", hold_urgency::kFirstIdle);
  first_holds.Add("newer", hold_urgency::kFirstIdle);
  first_holds.Add("runs", hold_urgency::kFirstWithRuns);
  first_holds.Add("new", hold_urgency::kFirstIdle);
  CHECK(first_holds.TakeNext() == "runs");
  CHECK(first_holds.TakeNext() == "new");
  CHECK_FALSE(first_holds.TakeNext());
  first_holds.Release();
  CHECK(first_holds.TakeNext() == "newer");
  first_holds.Release();
  CHECK(first_holds.TakeNext() == "dead");
  first_holds.Release();
  CHECK_FALSE(first_holds.TakeNext());
}

// Guards against the lapse of runs on an executor whose holds failed twice.
TEST_CASE("single failures of other executors do not starve a retry",
          "[fleet]") {
  // Unanswered holds take this long; leases last ten times as long.
  constexpr std::size_t kHoldsPerLease =
      10 * fleet::first_hold_queue_options{}.min_in_flight;
  fleet::first_hold_queue first_holds(1);
  first_holds.Add("retried", hold_urgency::kRetry);
  bool sent = false;
  for (std::size_t i = 0; i < kHoldsPerLease && !sent; ++i) {
    first_holds.Add("flaky" + std::to_string(i), hold_urgency::kSingleFailure);
    first_holds.Add("new" + std::to_string(i), hold_urgency::kFirstIdle);
    sent = first_holds.TakeNext() == "retried";
    first_holds.Release();
  }
  CHECK(sent);
}

}  // namespace
}  // namespace waxwingfront::tests
