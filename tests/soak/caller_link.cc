#include "soak/caller_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>

namespace waxwingfront::soak {
namespace {

namespace http = boost::beast::http;
using clock = std::chrono::steady_clock;

constexpr milliseconds kConnectTime{1000};
constexpr milliseconds kSendTime{10'000};
constexpr std::size_t kBlock = 16'384;

using event_mask = decltype(pollfd::events);

bool Await(int socket, event_mask events, milliseconds time) {
  pollfd one{.fd = socket, .events = events, .revents = 0};
  const auto time_ms = std::max<milliseconds::rep>(time.count(), 0);
  return poll(&one, 1, static_cast<int>(time_ms)) > 0;
}

}  // namespace

bool caller_link::Connect(std::uint16_t port) {
  Close();
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    return true;
  }
  int failure = errno;
  socklen_t size = sizeof(failure);
  if (failure == EINPROGRESS && Await(socket_, POLLOUT, kConnectTime) &&
      getsockopt(socket_, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 &&
      failure == 0) {
    return true;
  }
  Close();
  return false;
}

void caller_link::Close() {
  if (socket_ >= 0) close(socket_);
  socket_ = -1;
  rest_.clear();
}

void caller_link::HalfClose() const { shutdown(socket_, SHUT_WR); }

bool caller_link::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    if (!Await(socket_, POLLOUT, kSendTime)) return false;
    const ssize_t sent =
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

caller_reply caller_link::Receive(milliseconds patience) {
  const clock::time_point end = clock::now() + patience;
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  while (true) {
    boost::system::error_code failure;
    if (!rest_.empty()) {
      const std::size_t used =
          parser.put(boost::asio::buffer(rest_.data(), rest_.size()), failure);
      rest_.erase(0, used);
      if (failure && failure != http::error::need_more) {
        return {.kind = reply_kind::kUnreadable};
      }
    }
    if (parser.is_done()) {
      return {.kind = reply_kind::kAnswered,
              .status = static_cast<int>(parser.get().result_int()),
              .body = parser.get().body(),
              .closes = !parser.get().keep_alive()};
    }
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - clock::now());
    if (!Await(socket_, POLLIN, left)) return {.kind = reply_kind::kLate};
    std::array<char, kBlock> block;
    const ssize_t count = recv(socket_, block.data(), block.size(), 0);
    if (count <= 0) return {.kind = reply_kind::kClosed};
    rest_.append(block.data(), static_cast<std::size_t>(count));
  }
}

}  // namespace waxwingfront::soak
