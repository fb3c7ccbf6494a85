#include "soak/link_rate.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace waxwingfront::soak {

using std::chrono::seconds;

TEST_CASE("bytes on a link wait for those before them", "[soak]") {
  link_rate link(1000);
  const link_rate::clock::time_point now(seconds(100));
  CHECK(link.Carry(500, now) == now + std::chrono::milliseconds(500));
  CHECK(link.Carry(1000, now) == now + std::chrono::milliseconds(1500));
  CHECK(link.Carried() == 1500);
  CHECK(link.LongestTime() == std::chrono::milliseconds(1500));
}

TEST_CASE("an idle link gathers nothing", "[soak]") {
  link_rate link(1000);
  const link_rate::clock::time_point now(seconds(100));
  link.Carry(1000, now);
  CHECK(link.Carry(1000, now + seconds(9)) == now + seconds(10));
}

}  // namespace waxwingfront::soak
