// HTTP/1.1 client on an event loop that reuses connections.
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

// Order in which calls to an address get its limited connections.
enum class call_turn {
  // Also gets the last connection, which the others leave free for it.
  kReserved,
  kUrgent,
  kOrdinary,
};

struct http_call {
  // IPv4 address and port.
  std::string address;
  std::string method;
  std::string target;
  // `Host` header; the address if empty.
  std::string host;
  http_headers headers;
  std::string body;
  // Time limit of each step: connecting, sending the request, receiving each
  // part of the response. Time in which the event loop was busy is not counted.
  core::milliseconds timeout{1000};
  // Time limit of the whole call; 0 for twice `timeout`.
  core::milliseconds total_timeout{0};
  // How much longer the client waits for the response of a call that timed out
  // after its request was sent. A response in that time is passed to
  // `on_late_response`. Ignored without `on_late_response`.
  core::milliseconds late_response_timeout{0};
  std::function<void(http_reply)> on_late_response = nullptr;
  // Maximum number of connections to the address, at least 2; 0 for no limit.
  // Connections that wait for a late response are closed when a call needs one.
  // A call fails as overloaded if it has waited for longer than `timeout` when
  // its turn comes, which the total time limit of a call before it bounds;
  // `timeout` then starts anew. All calls to an address have the same limit.
  std::size_t max_connections = 0;
  call_turn turn = call_turn::kOrdinary;
  // Checked when the call's turn comes; it fails as not run if this returns
  // false. Optional, for limited addresses.
  std::function<bool()> may_send = nullptr;
};

struct async_http_client_options {
  // Idle connections kept for each address.
  std::size_t max_idle_per_address = 8;
  // A connection that was idle for longer is not reused, because the server may
  // be about to close it, and closed after at most twice this time.
  core::milliseconds max_idle_time{10'000};
  // For this time after a server has reset a new connection, the client opens
  // no other one to the address while it has one, if the address is limited.
  core::milliseconds full_time{2'000};
};

// Counters of a client since its creation.
struct client_totals {
  // Calls that have neither succeeded nor failed yet.
  std::size_t in_flight = 0;
  // Connections that are kept for further calls.
  std::size_t idle = 0;
  std::uint64_t failed = 0;
  std::uint64_t connections = 0;
  // Connections that a server reset before its first response on them.
  std::uint64_t resets = 0;
  // Calls that wait for a connection.
  std::size_t waiting = 0;
  // Calls that have waited for a connection for too long and were not sent.
  std::uint64_t expired = 0;
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

  // Sends one request. `done` is called once, from the event loop: with
  // `kUnreachable` if no connection could be established, with `kOverloaded` or
  // `kNotRun` if a limited address had none for it, so that nothing was sent,
  // and with `kOutcomeUnknown` if no complete response was received. A
  // call without a response closes the idle connections to its address, which
  // may be dead as well.
  void Send(http_call call, callback done);

  client_totals Totals() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::net

#endif  // WAXWINGFRONT_NET_ASYNC_HTTP_CLIENT_H_
