#include "waxwingfront/front/attempt_history.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace waxwingfront::front {
namespace {

using core::error_code;

// Guards against "not run" after a try that may have run.
TEST_CASE("not run is said only if no try may have run", "[front]") {
  rc::prop("the verdict follows every try", [](const std::vector<bool>& ran) {
    attempt_history history;
    for (const bool may_have_run : ran) {
      history.OnFailure({.code = may_have_run ? error_code::kOutcomeUnknown
                                              : error_code::kNotRun});
    }
    const bool any = std::find(ran.begin(), ran.end(), true) != ran.end();
    const core::error verdict =
        history.Verdict({.code = error_code::kDeadlineExceeded});
    RC_ASSERT(verdict.code == (any ? error_code::kOutcomeUnknown
                                   : error_code::kDeadlineExceeded));
    RC_ASSERT(history.MaySendAgain(true));
    RC_ASSERT(history.MaySendAgain(false) == !any);
  });
}

}  // namespace
}  // namespace waxwingfront::front
