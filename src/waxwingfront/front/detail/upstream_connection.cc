#include "waxwingfront/front/detail/upstream_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace waxwingfront::front::detail {
namespace {

constexpr int kReadBytes = 16384;
// A connection with bytes that stay unacknowledged for longer is closed.
// Several times the round trip between failure domains (9 ms), so that it
// leaves time for retransmissions.
constexpr int kTcpUserTimeoutMs = 2000;
// An idle connection whose peer is gone is detected after 5 s + 3 probes.
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;

Poco::Timespan TimeUntil(core::monotonic_time limit) {
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
      limit - core::Now());
  // Poco treats zero as no limit.
  return Poco::Timespan(std::max<std::int64_t>(left.count(), 1));
}

void SetOptions(Poco::Net::StreamSocket& socket) {
  socket.setNoDelay(true);
  socket.setKeepAlive(true);
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

}  // namespace

upstream_connection::upstream_connection(const Poco::Net::StreamSocket& socket)
    : socket_(socket), last_response_at_(core::Now()) {}

core::result<std::unique_ptr<upstream_connection>> upstream_connection::Connect(
    const std::string& address, core::milliseconds limit) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address),
                   TimeUntil(core::Now() + limit));
    SetOptions(socket);
    return std::unique_ptr<upstream_connection>(
        new upstream_connection(socket));
  } catch (const Poco::Exception& failure) {
    return core::Failure(core::error_code::kNotRun,
                         "no connection: " + failure.displayText());
  }
}

core::result<void> upstream_connection::Send(std::string_view bytes,
                                             core::monotonic_time limit) {
  bool some_sent = false;
  try {
    while (!bytes.empty()) {
      socket_.setSendTimeout(TimeUntil(limit));
      const int sent =
          socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      some_sent = some_sent || sent > 0;
      bytes.remove_prefix(static_cast<std::size_t>(std::max(sent, 0)));
    }
    return {};
  } catch (const Poco::Exception& failure) {
    return core::Failure(some_sent ? core::error_code::kOutcomeUnknown
                                   : core::error_code::kNotRun,
                         failure.displayText());
  }
}

core::result<std::string> upstream_connection::Receive(
    core::monotonic_time limit) {
  if (core::Now() >= limit) {
    return core::Failure(core::error_code::kOutcomeUnknown,
                         "no answer in time");
  }
  try {
    std::string bytes(kReadBytes, '\0');
    socket_.setReceiveTimeout(TimeUntil(limit));
    const int received = socket_.receiveBytes(bytes.data(), kReadBytes);
    if (received <= 0) {
      return core::Failure(core::error_code::kOutcomeUnknown,
                           "the connection ended before the answer");
    }
    bytes.resize(static_cast<std::size_t>(received));
    return bytes;
  } catch (const Poco::Exception& failure) {
    return core::Failure(core::error_code::kOutcomeUnknown,
                         failure.displayText());
  }
}

bool upstream_connection::HasNoPendingInput() const {
  try {
    return !socket_.poll(
        Poco::Timespan(0),
        Poco::Net::Socket::SELECT_READ | Poco::Net::Socket::SELECT_ERROR);
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace waxwingfront::front::detail
