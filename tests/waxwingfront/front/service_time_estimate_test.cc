#include "waxwingfront/front/service_time_estimate.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

namespace waxwingfront::front {
namespace {

using std::chrono::nanoseconds;

// Guards against an estimate that is too high and is never corrected, because
// it stops all requests.
TEST_CASE("a request with half of its time left is never given up",
          "[front][deadline]") {
  rc::prop("for any observations", [](const std::vector<unsigned>& observed) {
    service_time_estimate estimate;
    for (const unsigned elapsed : observed)
      estimate.Observe(nanoseconds(elapsed));
    const nanoseconds total(*rc::gen::inRange(2, 1000000));
    RC_ASSERT_FALSE(
        estimate.CannotMeetDeadline((total + nanoseconds(1)) / 2, total));
  });
}

TEST_CASE("a request with too little time left cannot meet its deadline",
          "[front][deadline]") {
  service_time_estimate estimate;
  const nanoseconds total = std::chrono::milliseconds(500);
  CHECK_FALSE(estimate.CannotMeetDeadline(nanoseconds(1), total));
  for (int count = 0; count < 100; ++count) {
    estimate.Observe(std::chrono::milliseconds(20));
  }
  CHECK(estimate.CannotMeetDeadline(std::chrono::milliseconds(29), total));
  CHECK_FALSE(
      estimate.CannotMeetDeadline(std::chrono::milliseconds(31), total));
}

}  // namespace
}  // namespace waxwingfront::front
