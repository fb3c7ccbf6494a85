#include "waxwingfront/net/detail/tcp_listener.h"

#include <poll.h>

#include <utility>

#include "waxwingfront/net/detail/ipv4_endpoint.h"
#include "waxwingfront/net/detail/socket_readiness.h"

namespace waxwingfront::net::detail {
namespace {

namespace asio = boost::asio;
using failure_code = boost::system::error_code;

constexpr int kListenBacklog = 512;
// Connections that are accepted before the event loop continues with other
// work.
constexpr int kMaxAcceptsPerIteration = 64;
// Pause after an accept that failed for want of descriptors or memory, and
// would fail again at once.
constexpr core::milliseconds kAcceptRetryDelay{100};

bool LacksResources(const failure_code& failure) {
  namespace errc = boost::system::errc;
  return failure == errc::too_many_files_open ||
         failure == errc::too_many_files_open_in_system ||
         failure == errc::no_buffer_space || failure == errc::not_enough_memory;
}

}  // namespace

tcp_listener::tcp_listener(event_loop& loop,
                           std::function<void(socket)> on_connection)
    : loop_(loop),
      context_(loop.Context()),
      acceptor_(loop.Context()),
      on_connection_(std::move(on_connection)) {}

core::result<void> tcp_listener::Start(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return core::Failure(core::error_code::kInvalidSettings,
                         "'" + address + "' is not an address");
  }
  failure_code failure;
  acceptor_.open(asio::ip::tcp::v4(), failure);
  if (!failure) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) acceptor_.bind(*endpoint, failure);
  if (!failure) acceptor_.listen(kListenBacklog, failure);
  if (!failure) acceptor_.non_blocking(true, failure);
  if (failure) {
    StopAccepting();
    return core::Failure(
        core::error_code::kInvalidSettings,
        "cannot listen on " + address + ": " + failure.message());
  }
  const auto bound = acceptor_.local_endpoint();
  address_ = bound.address().to_string() + ":" + std::to_string(bound.port());
  Accept();
  return {};
}

void tcp_listener::Accept() {
  acceptor_.async_accept([self = shared_from_this()](
                             const failure_code& failure, socket accepted) {
    if (!failure && self->on_connection_) {
      self->on_connection_(std::move(accepted));
    }
    if (!self->IsOpen()) return;
    if (LacksResources(failure)) {
      self->loop_.After(kAcceptRetryDelay, [self] {
        if (self->IsOpen()) self->Accept();
      });
      return;
    }
    self->AcceptPending();
    self->Accept();
  });
}

bool tcp_listener::AcceptPending() {
  for (int i = 0; i < kMaxAcceptsPerIteration; ++i) {
    failure_code failure;
    socket accepted(context_);
    acceptor_.accept(accepted, failure);
    if (failure) return !LacksResources(failure);
    on_connection_(std::move(accepted));
  }
  return !HasPending();
}

bool tcp_listener::HasPending() {
  return IsReady(acceptor_.native_handle(), POLLIN);
}

void tcp_listener::StopAccepting() {
  failure_code ignored;
  acceptor_.close(ignored);
}

void tcp_listener::Close() {
  StopAccepting();
  on_connection_ = nullptr;
}

}  // namespace waxwingfront::net::detail
