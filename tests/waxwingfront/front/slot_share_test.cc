#include "waxwingfront/front/slot_share.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace waxwingfront::front {
namespace {

std::vector<std::string> Entries(int count) {
  std::vector<std::string> entries;
  entries.reserve(count);
  for (int index = 0; index < count; ++index) {
    entries.push_back("entry-" + std::to_string(index));
  }
  return entries;
}

// Guards against slots that two entries use, and slots that no entry uses.
TEST_CASE("the shares of all entries add up to the executor's slots",
          "[front][slots]") {
  rc::prop("for any number of entries and slots", [] {
    const auto entries = Entries(*rc::gen::inRange(1, 12));
    const auto slots = *rc::gen::inRange(0, 20);
    const std::string executor =
        "executor-" + std::to_string(*rc::gen::inRange(0, 1000));
    int sum = 0;
    for (const std::string& entry : entries) {
      sum += OwnSlots(executor, slots, entries, entry);
    }
    RC_ASSERT(sum == slots);
  });
  rc::prop("an entry that leaves takes no slot from the remaining entries", [] {
    const auto entries = Entries(*rc::gen::inRange(2, 12));
    auto fewer = entries;
    fewer.erase(fewer.begin() +
                *rc::gen::inRange<int>(0, static_cast<int>(fewer.size())));
    for (const std::string& entry : fewer) {
      RC_ASSERT(OwnSlots("executor", 8, fewer, entry) >=
                OwnSlots("executor", 8, entries, entry));
    }
  });
}

TEST_CASE("slots of a site are distributed evenly over its entries",
          "[front][slots]") {
  // 50 executors with 8 slots each over 9 entries: 44 on average. The bound is
  // five standard deviations of a fair division.
  const auto entries = Entries(9);
  for (const std::string& entry : entries) {
    int own = 0;
    for (int executor = 0; executor < 50; ++executor) {
      own +=
          OwnSlots("executor-" + std::to_string(executor), 8, entries, entry);
    }
    CHECK(own > 44 - 32);
    CHECK(own < 44 + 32);
  }
}

TEST_CASE("connections of all entries stay within the executor's limit",
          "[front][slots]") {
  CHECK(ConnectionLimit(64, Entries(9)) == 7);
  CHECK(ConnectionLimit(64, Entries(1)) == 64);
  CHECK(ConnectionLimit(64, {}) == 64);
  CHECK(ConnectionLimit(4, Entries(9)) == 1);
}

}  // namespace
}  // namespace waxwingfront::front
