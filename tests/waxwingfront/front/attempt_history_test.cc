#include "waxwingfront/front/attempt_history.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace waxwingfront::front {
namespace {

using core::error_code;

// Guards against reporting "not run" after an attempt that may have run.
TEST_CASE("not run is reported only if no attempt may have run", "[front]") {
  rc::prop(
      "the final error reflects every attempt",
      [](const std::vector<bool>& ran) {
        attempt_history history;
        for (const bool may_have_run : ran) {
          history.OnFailure({.code = may_have_run ? error_code::kOutcomeUnknown
                                                  : error_code::kNotRun});
        }
        const bool any = std::find(ran.begin(), ran.end(), true) != ran.end();
        const core::error final_error =
            history.FinalError({.code = error_code::kDeadlineExceeded});
        RC_ASSERT(final_error.code == (any ? error_code::kOutcomeUnknown
                                           : error_code::kDeadlineExceeded));
        RC_ASSERT(history.MayRetry(true));
        RC_ASSERT(history.MayRetry(false) == !any);
      });
}

}  // namespace
}  // namespace waxwingfront::front
