// Paces and logs the repeats of a read whose response cannot be read.
#ifndef WAXWINGFRONT_FLEET_READ_RETRY_H_
#define WAXWINGFRONT_FLEET_READ_RETRY_H_

#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/logging/event_log.h"

namespace waxwingfront::fleet {

class read_retry {
 public:
  // `delay` is the time before a read is repeated that the store did not serve.
  read_retry(core::milliseconds delay, logging::event_log& log)
      : delay_(delay), current_(delay), log_(log) {}

  // Returns the delay before the read of the keys from `key` on is repeated.
  // Reads that the store served and whose response cannot be read are logged,
  // and repeated less and less often.
  core::milliseconds OnFailure(std::string_view key, const core::error& cause);
  void OnSuccess() { current_ = delay_; }

 private:
  core::milliseconds delay_;
  // Delay after the next response that cannot be read.
  core::milliseconds current_;
  logging::event_log& log_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_READ_RETRY_H_
