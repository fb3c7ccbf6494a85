// A connection of `async_http_client` and the call that it carries.
#ifndef WAXWINGFRONT_NET_DETAIL_CLIENT_CONNECTION_H_
#define WAXWINGFRONT_NET_DETAIL_CLIENT_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/http_client.h"

namespace waxwingfront::net::detail {

enum class call_stage { kIdle, kConnecting, kWriting, kReading };

struct client_connection {
  explicit client_connection(boost::asio::io_context& context)
      : socket(context) {}

  // Makes `call` the request, of which it takes the body.
  void SetRequest(http_call& call);
  // Begins a call at `now`, whose callbacks it takes.
  void Begin(http_call& call, std::function<void(core::result<http_reply>)> end,
             core::monotonic_time now);
  // Sends as much of the request as the socket takes at once, so that a small
  // one needs no further iteration of the event loop. Returns the bytes sent;
  // `error` is `would_block` if `serializer` has to send more.
  std::size_t BeginWrite(boost::system::error_code& error);
  // Restarts the step timeout after the call has completed a step.
  void RestartStep(core::monotonic_time now);
  // Returns how many bytes to read from the socket at once.
  std::size_t ReadBytes() const;
  // True if the socket is ready for the step that the call waits for.
  bool IsSocketReady();

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  boost::beast::http::request<boost::beast::http::string_body> request;
  std::optional<
      boost::beast::http::request_serializer<boost::beast::http::string_body>>
      serializer;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser;
  std::string address;
  core::monotonic_time idle_since;
  core::monotonic_time begun;
  // The server has responded on this connection.
  bool has_responded = false;
  // The server reset the connection before its first response.
  bool was_rejected = false;

  call_stage stage = call_stage::kIdle;
  // Set if the call uses one of the limited connections to the address.
  std::optional<call_turn> turn;
  // Null once the call has succeeded or failed.
  std::function<void(core::result<http_reply>)> done;
  std::function<void(http_reply)> on_late_response;
  core::milliseconds timeout{0};
  core::milliseconds late_response_timeout{0};
  // The call fails at `step_deadline` if it makes no progress until then, and
  // at `call_deadline` regardless of progress.
  core::monotonic_time step_deadline;
  core::monotonic_time call_deadline;
  // True if the event loop was late for `step_deadline`, which was extended.
  bool extended = false;
  // Key of the entry for this connection in the client's deadlines.
  std::optional<core::monotonic_time> watched_deadline;
};

using client_connection_ptr = std::shared_ptr<client_connection>;

}  // namespace waxwingfront::net::detail

#endif  // WAXWINGFRONT_NET_DETAIL_CLIENT_CONNECTION_H_
