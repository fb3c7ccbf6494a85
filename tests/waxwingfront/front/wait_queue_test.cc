#include "waxwingfront/front/wait_queue.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

namespace waxwingfront::front {
namespace {

// Guards against a burst of one customer that fills the queue.
TEST_CASE("no customer exceeds its share of the wait queue",
          "[front][overload]") {
  rc::prop("for any order of arrivals and departures", [] {
    constexpr int kCapacity = 6;
    constexpr int kCustomers = 3;
    wait_queue queue({.capacity = kCapacity, .customer_percent = 50});
    int waiting[kCustomers] = {};
    const auto steps =
        *rc::gen::container<std::vector<std::pair<bool, int>>>(rc::gen::pair(
            rc::gen::arbitrary<bool>(), rc::gen::inRange(0, kCustomers)));
    for (const auto& [enters, customer] : steps) {
      const std::string name = std::to_string(customer);
      const int total = waiting[0] + waiting[1] + waiting[2];
      if (enters) {
        const bool expected = total < kCapacity && waiting[customer] < 3;
        RC_ASSERT(queue.TryEnter(name) == expected);
        waiting[customer] += expected ? 1 : 0;
      } else if (waiting[customer] > 0) {
        queue.Leave(name);
        --waiting[customer];
      }
    }
  });
}

}  // namespace
}  // namespace waxwingfront::front
