#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"
#include "waxwingfront/fleet/start_queue.h"

namespace waxwingfront::tests {
namespace {

// 1250 bytes in a millisecond.
constexpr double kLinkMbps = 10.0;
constexpr std::int64_t kLinkBytesPerMs = 1250;
constexpr std::size_t kPayloadBytes = 2000;
constexpr std::int64_t kLatenessMs = 300;
constexpr std::int64_t kLengthMs = 3000;

TEST_CASE("responses that are read late do not count as a full link",
          "[fleet][overload]") {
  fleet::start_queue starts({.link_mbps = kLinkMbps});
  std::vector<fleet::start_order> in_flight;
  std::int64_t sent_bytes = 0;
  std::uint32_t added = 0;
  for (std::int64_t now = 0; now < kLengthMs; ++now) {
    for (int i = 0; i < 2; ++i) {
      starts.Add({.executor = "e",
                  .task = {.job = "job", .index = added++},
                  .run = 1,
                  .payload = std::string(kPayloadBytes, 'x')});
    }
    // The executors respond at once; the leader reads their responses together.
    if (now % kLatenessMs == 0) {
      for (const fleet::start_order& order : in_flight) {
        starts.OnResponse(order, fleet::start_outcome::kAccepted, At(now).now);
      }
      in_flight.clear();
    }
    for (fleet::start_order& order : starts.Take(At(now).now)) {
      sent_bytes += static_cast<std::int64_t>(order.payload.size());
      in_flight.push_back(std::move(order));
    }
  }
  CAPTURE(sent_bytes);
  CHECK(sent_bytes >= kLinkBytesPerMs * kLengthMs / 2);
}

}  // namespace
}  // namespace waxwingfront::tests
