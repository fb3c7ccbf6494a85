// Listening TCP socket on an event loop.
#ifndef WAXWINGFRONT_NET_DETAIL_TCP_LISTENER_H_
#define WAXWINGFRONT_NET_DETAIL_TCP_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "waxwingfront/core/error.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::net::detail {

class tcp_listener : public std::enable_shared_from_this<tcp_listener> {
 public:
  using socket = boost::asio::ip::tcp::socket;

  // `on_connection` is not called after `Close`.
  tcp_listener(event_loop& loop, std::function<void(socket)> on_connection);

  // Starts to accept connections. Fails with `kInvalidSettings` if it cannot
  // listen on the address; it may be called again then.
  core::result<void> Start(const std::string& address);

  // Accepts connections that are already pending. A single accept per iteration
  // of the event loop would be too slow, because iterations are long while it
  // is busy. Returns true if none is pending any more.
  bool AcceptPending();

  // A connection that is being accepted is still passed to `on_connection`.
  // Those that are pending are reset.
  void StopAccepting();
  void Close();
  bool IsOpen() const { return acceptor_.is_open(); }
  bool HasPending();

  // Returns the address with the actual port.
  const std::string& Address() const { return address_; }

 private:
  void Accept();

  event_loop& loop_;
  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::function<void(socket)> on_connection_;
  std::string address_;
};

}  // namespace waxwingfront::net::detail

#endif  // WAXWINGFRONT_NET_DETAIL_TCP_LISTENER_H_
