// Wall-clock time. It may jump and differs between hosts, so it is used for
// records and log lines but never for leases.
#ifndef WAXWINGFRONT_CORE_UNIX_TIME_H_
#define WAXWINGFRONT_CORE_UNIX_TIME_H_

#include <chrono>
#include <cstdint>

namespace waxwingfront::core {

// Returns the milliseconds since the Unix epoch, 1970.
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_UNIX_TIME_H_
