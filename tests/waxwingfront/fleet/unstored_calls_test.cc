#include "waxwingfront/fleet/unstored_calls.h"

#include <catch2/catch.hpp>

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("a caller waits in vain once the oldest call has waited for long",
          "[fleet]") {
  fleet::unstored_calls calls({});
  const core::monotonic_time start{};
  CHECK_FALSE(calls.Hopeless(milliseconds(10), start));
  calls.Add(start);
  calls.Add(start + milliseconds(900));
  CHECK_FALSE(calls.Hopeless(milliseconds(2000), start + milliseconds(1000)));
  CHECK(calls.Hopeless(milliseconds(2000), start + milliseconds(1001)));
  calls.Remove(start);
  CHECK_FALSE(calls.Hopeless(milliseconds(2000), start + milliseconds(1001)));
}

}  // namespace
}  // namespace waxwingfront::tests
