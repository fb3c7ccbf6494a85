// What is known of one request from its tries so far.
#ifndef WAXWINGFRONT_FRONT_ATTEMPT_HISTORY_H_
#define WAXWINGFRONT_FRONT_ATTEMPT_HISTORY_H_

#include <optional>

#include "waxwingfront/core/error.h"

namespace waxwingfront::front {

class attempt_history {
 public:
  // Records a try that gave no answer.
  void OnFailure(core::error failure);

  // Whether some try may have run the request.
  bool MayHaveRun() const { return may_have_run_; }

  // Whether the request may be sent again: it surely did not run, or it is
  // idempotent.
  bool MaySendAgain(bool idempotent) const {
    return idempotent || !may_have_run_;
  }

  // What the caller is told. Once a try may have run, no later failure makes
  // the request "not run". `reason` is why the tries ended, for a request that
  // surely did not run.
  core::error Verdict(core::error reason) const;

 private:
  bool may_have_run_ = false;
  // The failure after which the request may have run, or else the last one.
  std::optional<core::error> decisive_;
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_ATTEMPT_HISTORY_H_
