#include "waxwingfront/front/upstream_choice.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "waxwingfront/front/upstream.h"

namespace waxwingfront::front {
namespace {

constexpr int kSlots = 3;

std::shared_ptr<upstream> WithBusySlots(int busy) {
  auto item = std::make_shared<upstream>(upstream_options{
      .executor = {.id = "executor", .slots = kSlots, .connections = kSlots}});
  for (int slot = 0; slot < busy; ++slot) item->TryAcquireSlot(kSlots);
  return item;
}

// Guards against more requests than slots, against unused free slots, and
// against a second attempt at the same executor.
TEST_CASE("a slot is acquired iff an untried executor has a free one",
          "[front][routing]") {
  rc::prop("for any load and any set of tried executors", [] {
    upstream_list list;
    upstream_list tried;
    bool any_open = false;
    const auto count = *rc::gen::inRange(0, 20);
    for (int index = 0; index < count; ++index) {
      const int busy = *rc::gen::inRange(0, kSlots + 1);
      list.push_back(WithBusySlots(busy));
      const bool is_tried = *rc::gen::arbitrary<bool>();
      if (is_tried) tried.push_back(list.back());
      any_open = any_open || (!is_tried && busy < kSlots);
    }
    const auto chosen = AcquireUpstream(list, tried);
    RC_ASSERT((chosen != nullptr) == any_open);
    if (chosen == nullptr) return;
    RC_ASSERT(std::find(tried.begin(), tried.end(), chosen) == tried.end());
    RC_ASSERT(chosen->Outstanding() <= kSlots);
  });
}

}  // namespace
}  // namespace waxwingfront::front
