#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace waxwingfront::review {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using failure_code = boost::system::error_code;

constexpr int kBacklog = 256;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Returns a listening socket; -1 if the port is in use.
int TryListen(std::uint16_t port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0 &&
      listen(listener, kBacklog) == 0) {
    return listener;
  }
  close(listener);
  return -1;
}

std::string Unescape(std::string_view text) {
  constexpr int kHex = 16;
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const std::string code(text.substr(i + 1, 2));
      plain += static_cast<char>(std::strtol(code.c_str(), nullptr, kHex));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

http_request Parse(const http::request<http::string_body>& message) {
  const std::string target(message.target());
  const std::size_t mark = std::min(target.find('?'), target.size());
  http_request request{
      .method = std::string(message.method_string()),
      .path = Unescape(target.substr(0, mark)),
      .query = {},
      .host = std::string(message[http::field::host]),
      .expected_instance = std::string(message["Expected-Instance"]),
      .body = message.body()};
  std::string_view rest(target);
  rest.remove_prefix(std::min(mark + 1, rest.size()));
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    request.query[std::string(pair.substr(0, equals))] =
        Unescape(pair.substr(std::min(equals + 1, pair.size())));
    rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
  }
  return request;
}

void Serve(int accepted, const http_server::handler& handle) {
  asio::io_context context;
  asio::ip::tcp::socket link(context);
  failure_code failure;
  link.assign(asio::ip::tcp::v4(), accepted, failure);
  link.set_option(asio::ip::tcp::no_delay(true), failure);
  beast::flat_buffer buffer;
  while (true) {
    http::request<http::string_body> message;
    http::read(link, buffer, message, failure);
    if (failure) return;
    const http_response reply = handle(Parse(message));
    if (reply.status == 0) return;
    http::response<http::string_body> response;
    response.version(message.version());
    response.result(static_cast<unsigned>(reply.status));
    response.set(http::field::content_type, "application/json");
    response.keep_alive(message.keep_alive());
    response.body() = reply.body;
    response.prepare_payload();
    http::write(link, response, failure);
    if (failure || !response.keep_alive()) return;
  }
}

}  // namespace

std::uint16_t FreePort() {
  // Below the ports that the system picks for outgoing connections.
  constexpr int kFirst = 20'000;
  constexpr int kCount = 10'000;
  constexpr int kSpread = 37;
  static int next = getpid() * kSpread % kCount;
  while (true) {
    next = (next + 1) % kCount;
    const auto port = static_cast<std::uint16_t>(kFirst + next);
    const int probe = TryListen(port);
    if (probe < 0) continue;
    close(probe);
    return port;
  }
}

http_server::http_server(std::uint16_t port, handler handle)
    : port_(port), listener_(TryListen(port)), handle_(std::move(handle)) {
  if (listener_ < 0) std::_Exit(2);
  std::thread([this] { Accept(); }).detach();
}

std::string http_server::Address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void http_server::Accept() {
  while (true) {
    const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    std::thread([this, accepted] { Serve(accepted, handle_); }).detach();
  }
}

http_response Call(std::uint16_t port, const std::string& method,
                   const std::string& target, const std::string& host,
                   const std::string& body, milliseconds timeout) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(timeout);
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, host);
  request.set("Deadline-Ms", std::to_string(timeout.count()));
  request.keep_alive(false);
  if (!body.empty()) request.set(http::field::content_type, "application/json");
  request.body() = body;
  request.prepare_payload();
  http_response reply{.status = 0};
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  const auto on_read = [&](const failure_code& failure, std::size_t) {
    if (failure) return;
    reply = {.status = static_cast<int>(response.result_int()),
             .body = response.body()};
  };
  const auto on_written = [&](const failure_code& failure, std::size_t) {
    if (!failure) http::async_read(stream, buffer, response, on_read);
  };
  stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port),
      [&](const failure_code& failure) {
        if (!failure) http::async_write(stream, request, on_written);
      });
  context.run();
  return reply;
}

}  // namespace waxwingfront::review
