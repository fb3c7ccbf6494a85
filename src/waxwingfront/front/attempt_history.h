// Tracks the failed attempts of one request.
#ifndef WAXWINGFRONT_FRONT_ATTEMPT_HISTORY_H_
#define WAXWINGFRONT_FRONT_ATTEMPT_HISTORY_H_

#include <optional>

#include "waxwingfront/core/error.h"

namespace waxwingfront::front {

class attempt_history {
 public:
  // Records an attempt that received no response.
  void OnFailure(core::error failure);

  // True if some attempt may have run the request.
  bool MayHaveRun() const { return may_have_run_; }

  // True if the request may be sent again: it certainly did not run, or it is
  // idempotent.
  bool MayRetry(bool idempotent) const { return idempotent || !may_have_run_; }

  // Returns the error to report to the caller. Once an attempt may have run, no
  // later failure turns the outcome into "not run". `reason` is why the
  // attempts ended; it is reported for a request that certainly did not run.
  core::error FinalError(core::error reason) const;

 private:
  bool may_have_run_ = false;
  // The last failure after which the request may have run, or the last failure
  // of any kind if there is none.
  std::optional<core::error> reported_failure_;
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_ATTEMPT_HISTORY_H_
