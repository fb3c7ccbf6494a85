#include "waxwingfront/front/attempt_history.h"

#include <utility>

namespace waxwingfront::front {

void attempt_history::OnFailure(core::error failure) {
  const bool did_not_run = failure.code == core::error_code::kNotRun ||
                           failure.code == core::error_code::kOverloaded;
  if (did_not_run && may_have_run_) return;
  may_have_run_ = may_have_run_ || !did_not_run;
  reported_failure_ = std::move(failure);
}

core::error attempt_history::FinalError(core::error reason) const {
  if (may_have_run_) {
    return {.code = core::error_code::kOutcomeUnknown,
            .detail = reported_failure_->detail};
  }
  if (reported_failure_.has_value())
    reason.detail += "; " + reported_failure_->detail;
  return reason;
}

}  // namespace waxwingfront::front
