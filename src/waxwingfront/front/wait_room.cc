#include "waxwingfront/front/wait_room.h"

#include <algorithm>

namespace waxwingfront::front {
namespace {
constexpr int kFullPercent = 100;
}

wait_room::wait_room(wait_room_options options) : options_(options) {}

bool wait_room::TryEnter(std::string_view customer) {
  const int customer_places =
      std::max(1, options_.places * options_.customer_percent / kFullPercent);
  const std::lock_guard lock(mutex_);
  if (taken_ >= options_.places) return false;
  int& own = taken_by_customer_[std::string(customer)];
  if (own >= customer_places) return false;
  ++own;
  ++taken_;
  return true;
}

void wait_room::Leave(std::string_view customer) {
  const std::lock_guard lock(mutex_);
  const auto own = taken_by_customer_.find(customer);
  --taken_;
  if (--own->second == 0) taken_by_customer_.erase(own);
}

}  // namespace waxwingfront::front
