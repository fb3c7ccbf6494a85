#include "waxwingfront/fleet/pending_calls.h"

#include <catch2/catch.hpp>

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("the oldest pending call shows that a deadline cannot be met",
          "[fleet]") {
  fleet::pending_calls calls({});
  const core::monotonic_time start{};
  CHECK_FALSE(calls.CannotMeetDeadline(milliseconds(10), start));
  calls.Add(start);
  calls.Add(start + milliseconds(900));
  CHECK_FALSE(
      calls.CannotMeetDeadline(milliseconds(2000), start + milliseconds(1000)));
  CHECK(
      calls.CannotMeetDeadline(milliseconds(2000), start + milliseconds(1001)));
  calls.Remove(start);
  CHECK_FALSE(
      calls.CannotMeetDeadline(milliseconds(2000), start + milliseconds(1001)));
}

}  // namespace
}  // namespace waxwingfront::tests
