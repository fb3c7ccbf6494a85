#include "waxwingfront/front/service_time.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

namespace waxwingfront::front {
namespace {

using std::chrono::nanoseconds;

// Guards against an estimate that once was too high and then refuses all.
TEST_CASE("a request with half of its time left is never hopeless",
          "[front][deadline]") {
  rc::prop("whatever was observed", [](const std::vector<unsigned>& observed) {
    service_time estimate;
    for (const unsigned taken : observed) estimate.Observe(nanoseconds(taken));
    const nanoseconds total(*rc::gen::inRange(2, 1000000));
    RC_ASSERT_FALSE(estimate.IsHopeless((total + nanoseconds(1)) / 2, total));
  });
}

TEST_CASE("a request that cannot be answered in time is hopeless",
          "[front][deadline]") {
  service_time estimate;
  const nanoseconds total = std::chrono::milliseconds(500);
  CHECK_FALSE(estimate.IsHopeless(nanoseconds(1), total));
  for (int count = 0; count < 100; ++count) {
    estimate.Observe(std::chrono::milliseconds(20));
  }
  CHECK(estimate.IsHopeless(std::chrono::milliseconds(29), total));
  CHECK_FALSE(estimate.IsHopeless(std::chrono::milliseconds(31), total));
}

}  // namespace
}  // namespace waxwingfront::front
