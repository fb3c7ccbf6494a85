#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace waxwingfront::review_2 {
namespace {

constexpr int kBacklog = 512;
constexpr int kHexBase = 16;
constexpr int kMsPerSecond = 1000;

struct message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

int OpenSocket(std::uint16_t port, bool listens, std::uint16_t* bound) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (listens) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    socklen_t size = sizeof(address);
    if (bind(fd, generic, size) != 0 || listen(fd, kBacklog) != 0) {
      close(fd);
      return -1;
    }
    getsockname(fd, generic, &size);
    *bound = ntohs(address.sin_port);
    return fd;
  }
  if (connect(fd, generic, sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Receive(int fd, std::string& buffer) {
  std::array<char, 16384> chunk;
  const ssize_t count = recv(fd, chunk.data(), chunk.size(), 0);
  if (count <= 0) return false;
  buffer.append(chunk.data(), static_cast<std::size_t>(count));
  return true;
}

// Reads one message; `buffer` keeps what follows it.
std::optional<message> ReadMessage(int fd, std::string& buffer) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(fd, buffer)) return std::nullopt;
  }
  message read;
  std::size_t at = buffer.find("\r\n");
  read.first_line = buffer.substr(0, at);
  while (at < end) {
    const std::size_t begin = at + 2;
    at = buffer.find("\r\n", begin);
    const std::string line = buffer.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    read.headers[name] =
        value == std::string::npos ? std::string() : line.substr(value);
  }
  const auto length = read.headers.find("content-length");
  const std::size_t size =
      length == read.headers.end()
          ? 0
          : std::strtoull(length->second.c_str(), nullptr, 10);
  const std::size_t body = end + 4;
  while (buffer.size() < body + size) {
    if (!Receive(fd, buffer)) return std::nullopt;
  }
  read.body = buffer.substr(body, size);
  buffer.erase(0, body + size);
  return read;
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, kHexBase));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

http_request ParseRequest(message read) {
  http_request request;
  const std::size_t space = read.first_line.find(' ');
  request.method = read.first_line.substr(0, space);
  std::string target = read.first_line.substr(
      space + 1, read.first_line.find(' ', space + 1) - space - 1);
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  std::string query =
      mark == std::string::npos ? std::string() : target.substr(mark + 1);
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string part = query.substr(0, end);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos) {
      request.query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
    }
    query = end == std::string::npos ? std::string() : query.substr(end + 1);
  }
  request.headers = std::move(read.headers);
  request.body = std::move(read.body);
  return request;
}

}  // namespace

http_server::http_server(handler handle) : handle_(std::move(handle)) {
  listener_ = OpenSocket(0, true, &port_);
  std::thread([this] { Accept(); }).detach();
}

std::string http_server::Address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void http_server::Accept() {
  while (true) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void http_server::Serve(int socket) const {
  std::string buffer;
  while (auto read = ReadMessage(socket, buffer)) {
    const http_response response = handle_(ParseRequest(*std::move(read)));
    if (response.status == 0) break;
    if (!SendAll(socket, "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" +
                             response.body)) {
      break;
    }
  }
  close(socket);
}

int Listen(std::uint16_t port, std::uint16_t* bound) {
  return OpenSocket(port, true, bound);
}

int Connect(std::uint16_t port) { return OpenSocket(port, false, nullptr); }

http_response Call(const http_call& call) {
  const int fd = OpenSocket(call.port, false, nullptr);
  if (fd < 0) return {.status = 0, .body = {}};
  timeval timeout{};
  timeout.tv_sec = call.timeout_ms / kMsPerSecond;
  timeout.tv_usec = call.timeout_ms % kMsPerSecond;
  timeout.tv_usec *= kMsPerSecond;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  std::string text =
      call.method + " " + call.target + " HTTP/1.1\r\nHost: " + call.host +
      "\r\nDeadline-Ms: " + std::to_string(call.timeout_ms) + "\r\n";
  if (!call.body.empty()) {
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(call.body.size()) + "\r\n";
  }
  http_response response{.status = 0, .body = {}};
  std::string buffer;
  if (SendAll(fd, text + "\r\n" + call.body)) {
    if (auto read = ReadMessage(fd, buffer)) {
      const std::size_t space = read->first_line.find(' ');
      response.status = std::atoi(read->first_line.c_str() + space + 1);
      response.body = std::move(read->body);
    }
  }
  close(fd);
  return response;
}

std::uint16_t FreePort() {
  // Below the ports that connections take, so that none takes it meanwhile.
  constexpr int kFirst = 15'000;
  constexpr int kLast = 30'000;
  static std::mt19937 random{std::random_device{}()};
  static std::set<int> drawn;
  std::uniform_int_distribution<int> draw(kFirst, kLast);
  while (true) {
    const int candidate = draw(random);
    if (!drawn.insert(candidate).second) continue;
    std::uint16_t port = 0;
    const int fd =
        OpenSocket(static_cast<std::uint16_t>(candidate), true, &port);
    if (fd < 0) continue;
    close(fd);
    return port;
  }
}

}  // namespace waxwingfront::review_2
