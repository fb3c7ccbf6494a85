// Readiness of a socket, independent of the event loop.
#ifndef WAXWINGFRONT_NET_DETAIL_SOCKET_READINESS_H_
#define WAXWINGFRONT_NET_DETAIL_SOCKET_READINESS_H_

#include <boost/asio/ip/tcp.hpp>

namespace waxwingfront::net::detail {

// Returns true if `events` of `poll` (POLLIN, POLLOUT), an error or the end of
// the connection are pending on an open socket.
bool IsReady(boost::asio::ip::tcp::socket& socket, int events);

}  // namespace waxwingfront::net::detail

#endif  // WAXWINGFRONT_NET_DETAIL_SOCKET_READINESS_H_
