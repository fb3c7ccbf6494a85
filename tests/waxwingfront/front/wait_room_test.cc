#include "waxwingfront/front/wait_room.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

namespace waxwingfront::front {
namespace {

// Guards against one customer's burst that takes all places.
TEST_CASE("no customer takes more than its part of the places",
          "[front][overload]") {
  rc::prop("for any order of arrivals and departures", [] {
    constexpr int kPlaces = 6;
    constexpr int kCustomers = 3;
    wait_room room({.places = kPlaces, .customer_percent = 50});
    int waiting[kCustomers] = {};
    const auto steps =
        *rc::gen::container<std::vector<std::pair<bool, int>>>(rc::gen::pair(
            rc::gen::arbitrary<bool>(), rc::gen::inRange(0, kCustomers)));
    for (const auto& [enters, customer] : steps) {
      const std::string name = std::to_string(customer);
      const int total = waiting[0] + waiting[1] + waiting[2];
      if (enters) {
        const bool expected = total < kPlaces && waiting[customer] < 3;
        RC_ASSERT(room.TryEnter(name) == expected);
        waiting[customer] += expected ? 1 : 0;
      } else if (waiting[customer] > 0) {
        room.Leave(name);
        --waiting[customer];
      }
    }
  });
}

}  // namespace
}  // namespace waxwingfront::front
