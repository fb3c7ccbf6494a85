// Readiness of a socket, independent of the event loop.
#ifndef WAXWINGFRONT_NET_DETAIL_SOCKET_READINESS_H_
#define WAXWINGFRONT_NET_DETAIL_SOCKET_READINESS_H_

namespace waxwingfront::net::detail {

// Returns true if `events` of `poll` (POLLIN, POLLOUT), an error or the end of
// the connection are pending on an open socket. `handle` is -1 if it is closed.
bool IsReady(int handle, int events);

}  // namespace waxwingfront::net::detail

#endif  // WAXWINGFRONT_NET_DETAIL_SOCKET_READINESS_H_
