// HTTP/1.1 server on an event loop.
#ifndef WAXWINGFRONT_NET_ASYNC_HTTP_SERVER_H_
#define WAXWINGFRONT_NET_ASYNC_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/net/event_loop.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/net/http_status.h"
#include "waxwingfront/net/request_limits.h"

namespace waxwingfront::net {

struct server_request {
  std::string method;
  // Path and query, as sent.
  std::string target;
  std::string host;
  std::string body;
  http_headers headers;
  core::monotonic_time received;

  // Returns the value of a header, or an empty string if it is missing. Names
  // are compared without regard to case.
  std::string_view Header(std::string_view name) const;
};

struct server_response {
  int status = kHttpOk;
  std::string body;
  http_headers headers;
};

struct async_http_server_options {
  // IPv4 address and port. Port 0 selects a free port, see `Address`.
  std::string address;
  // Used in this order if the server cannot listen on `address`.
  std::vector<std::string> more_addresses;
  request_limits limits;
  // Above this number the connections that were idle for the longest time are
  // closed.
  std::size_t max_connections = 1000;
  // Called when the handler throws; the request is answered with 500.
  std::function<void(std::string_view cause)> on_exception;
};

class async_http_server {
 public:
  using responder = std::function<void(server_response)>;
  using handler = std::function<void(server_request, responder)>;

  async_http_server(event_loop& loop, async_http_server_options options,
                    handler handle);
  async_http_server(const async_http_server&) = delete;
  async_http_server& operator=(const async_http_server&) = delete;
  ~async_http_server();

  // Starts to listen. Fails with `kInvalidSettings` if it cannot listen on any
  // of the addresses; it may be called again then.
  core::result<void> Start();

  // Returns the address that the server listens on, with the actual port.
  const std::string& Address() const;

  // Applies to requests that begin later.
  void SetLimits(const request_limits& limits);

  // Announces the end of each connection with its next response, and closes the
  // connection shortly after it. Requests that still arrive are served.
  void Drain();

  // Closes idle connections without unread requests, and the others after their
  // last request; stops accepting once no connection is pending. Called from
  // the event loop until it returns 0; before that, connections are open,
  // pending or being accepted.
  std::size_t Finish();

  // Returns true if a request has no complete response yet, received bytes are
  // unread or a connection waits to be accepted.
  bool HasUnansweredRequests() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::net

#endif  // WAXWINGFRONT_NET_ASYNC_HTTP_SERVER_H_
