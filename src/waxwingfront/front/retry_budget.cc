#include "waxwingfront/front/retry_budget.h"

#include <algorithm>

namespace waxwingfront::front {

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), credits_(options.burst * kRetryCost) {}

void retry_budget::OnFirstAttempt() {
  const std::int64_t max_credits = options_.burst * kRetryCost;
  std::int64_t credits = credits_.load(std::memory_order_relaxed);
  while (credits < max_credits &&
         !credits_.compare_exchange_weak(
             credits, std::min(max_credits, credits + options_.percent))) {
  }
}

bool retry_budget::TryRetry() {
  std::int64_t credits = credits_.load(std::memory_order_relaxed);
  while (credits >= kRetryCost) {
    if (credits_.compare_exchange_weak(credits, credits - kRetryCost)) {
      return true;
    }
  }
  return false;
}

}  // namespace waxwingfront::front
