#include "waxwingfront/front/wait_queue.h"

#include <algorithm>

namespace waxwingfront::front {
namespace {
constexpr int kFullPercent = 100;
}

wait_queue::wait_queue(wait_queue_options options) : options_(options) {}

bool wait_queue::TryEnter(std::string_view customer) {
  const int customer_capacity =
      std::max(1, options_.capacity * options_.customer_percent / kFullPercent);
  const std::lock_guard lock(mutex_);
  if (waiting_ >= options_.capacity) return false;
  int& own = waiting_by_customer_[std::string(customer)];
  if (own >= customer_capacity) return false;
  ++own;
  ++waiting_;
  return true;
}

void wait_queue::Leave(std::string_view customer) {
  const std::lock_guard lock(mutex_);
  const auto own = waiting_by_customer_.find(customer);
  --waiting_;
  if (--own->second == 0) waiting_by_customer_.erase(own);
}

}  // namespace waxwingfront::front
