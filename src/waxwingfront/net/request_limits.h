// Limits on the requests of callers.
#ifndef WAXWINGFRONT_NET_REQUEST_LIMITS_H_
#define WAXWINGFRONT_NET_REQUEST_LIMITS_H_

#include <cstdint>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::net {

// Limits of a request and of the connection that carries it.
struct request_limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 256 * 1024;
  // From the first byte of a request to the end of its body.
  core::milliseconds read_timeout{15'000};
  // A connection without a request is closed after this time.
  core::milliseconds idle_timeout{15'000};
};

}  // namespace waxwingfront::net

#endif  // WAXWINGFRONT_NET_REQUEST_LIMITS_H_
