#include "waxwingfront/net/detail/socket_readiness.h"

#include <poll.h>

#include <cstdint>

namespace waxwingfront::net::detail {

bool IsReady(int handle, int events) {
  pollfd query{
      .fd = handle, .events = static_cast<std::int16_t>(events), .revents = 0};
  return poll(&query, 1, 0) > 0;
}

}  // namespace waxwingfront::net::detail
