// HTTP/1.1 client on an event loop, with reuse of connections.
#ifndef WAXWINGFRONT_NET_ASYNC_HTTP_CLIENT_H_
#define WAXWINGFRONT_NET_ASYNC_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/net/event_loop.h"
#include "waxwingfront/net/http_client.h"

namespace waxwingfront::net {

struct http_call {
  // IPv4 address and port.
  std::string address;
  std::string method;
  std::string target;
  // `Host` header; the address if empty.
  std::string host;
  http_headers headers;
  std::string body;
  // Wait for each step: the connection, the request's leaving, each part of the
  // answer. Time in which the loop could not look is not counted.
  core::milliseconds timeout{1000};
  // From now to the whole answer; 0 for twice the timeout.
  core::milliseconds total_timeout{0};
  // A request that was sent and given up is listened for this much longer; an
  // answer that comes in that time goes to `on_late_response`. Ignored without
  // `on_late_response`.
  core::milliseconds late_response_timeout{0};
  std::function<void(http_reply)> on_late_response = nullptr;
};

struct async_http_client_options {
  // Idle connections kept for each address.
  std::size_t max_idle_per_address = 8;
  // An idle connection older than this is not used again: the other side may
  // be about to close it.
  core::milliseconds max_idle_time{10'000};
};

// What a client has done since it was made.
struct client_totals {
  // Calls without an answer so far.
  std::size_t in_flight = 0;
  std::uint64_t failed = 0;
  std::uint64_t connections = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
};

class async_http_client {
 public:
  using callback = std::function<void(core::result<http_reply>)>;

  async_http_client(event_loop& loop, async_http_client_options options);
  async_http_client(const async_http_client&) = delete;
  async_http_client& operator=(const async_http_client&) = delete;
  ~async_http_client();

  // Sends one request. `done` is called once, from the loop: with
  // `kUnreachable` if no connection could be made, so that nothing was sent,
  // and with `kOutcomeUnknown` if no whole answer came back. A call without an
  // answer closes the idle connections to its address, which may be dead as
  // well.
  void Send(http_call call, callback done);

  client_totals Totals() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::net

#endif  // WAXWINGFRONT_NET_ASYNC_HTTP_CLIENT_H_
