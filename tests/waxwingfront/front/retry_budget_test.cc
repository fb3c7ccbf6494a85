#include "waxwingfront/front/retry_budget.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

namespace waxwingfront::front {
namespace {

// Guards against retries that multiply the load of an outage.
TEST_CASE("retries are limited to a share of first attempts", "[front]") {
  rc::prop("at most the burst plus the percentage",
           [](const std::vector<bool>& steps) {
             constexpr int kPercent = 10;
             constexpr int kBurst = 3;
             retry_budget budget({.percent = kPercent, .burst = kBurst});
             int first_attempts = 0;
             int retries = 0;
             for (const bool is_first : steps) {
               if (is_first) {
                 budget.OnFirstAttempt();
                 ++first_attempts;
               } else if (budget.TryRetry()) {
                 ++retries;
               }
               RC_ASSERT(retries <= kBurst + first_attempts * kPercent / 100);
             }
           });
}

TEST_CASE("an idle budget allows exactly its burst", "[front]") {
  retry_budget budget({.percent = 10, .burst = 2});
  CHECK(budget.TryRetry());
  CHECK(budget.TryRetry());
  CHECK_FALSE(budget.TryRetry());
}

}  // namespace
}  // namespace waxwingfront::front
