#include "support/scripted_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace waxwingfront::tests {
namespace {

constexpr int kPollMicroseconds = 20000;
constexpr std::string_view kLengthHeader = "Content-Length: ";

// Size in bytes of the first request in `received`; nullopt if the request is
// incomplete.
std::optional<std::size_t> CompleteRequestSize(const std::string& received) {
  const std::size_t head_end = received.find("\r\n\r\n");
  if (head_end == std::string::npos) return std::nullopt;
  const std::size_t length_at = received.find(kLengthHeader);
  std::size_t length = 0;
  if (length_at < head_end) {
    length = std::stoul(received.substr(length_at + kLengthHeader.size()));
  }
  const std::size_t request_size = head_end + 4 + length;
  if (received.size() < request_size) return std::nullopt;
  return request_size;
}

}  // namespace

struct scripted_server::internal {
  std::function<scripted_response(const std::string&, int)> respond;
  Poco::Net::ServerSocket listener;
  std::atomic<bool> stopping{false};
  std::atomic<int> requests{0};
  std::atomic<int> connections{0};
  std::atomic<int> closed{0};
  std::vector<std::thread> workers;
  std::thread acceptor;

  void Accept() {
    while (!stopping) {
      const bool readable = listener.poll(Poco::Timespan(kPollMicroseconds),
                                          Poco::Net::Socket::SELECT_READ);
      if (!readable) continue;
      // Held by a shared_ptr because the thread sanitizer cannot observe the
      // reference count inside Poco that copies of a socket share.
      const auto socket = std::make_shared<Poco::Net::StreamSocket>(
          listener.acceptConnection());
      ++connections;
      workers.emplace_back([this, socket] { Serve(*socket); });
    }
  }

  void Serve(Poco::Net::StreamSocket& socket) {
    std::string received;
    try {
      while (!stopping) {
        if (!Read(socket, received)) continue;
        const auto request_size = CompleteRequestSize(received);
        if (!request_size.has_value()) continue;
        const scripted_response reply =
            respond(received.substr(0, *request_size), ++requests);
        received.erase(0, *request_size);
        if (!reply.bytes.empty()) {
          socket.sendBytes(reply.bytes.data(),
                           static_cast<int>(reply.bytes.size()));
        }
        if (reply.then == after_response::kClose) break;
      }
    } catch (const Poco::Exception&) {
      // The peer has closed the connection; the test checks the consequences.
    }
    socket.close();
    ++closed;
  }

  // Appends the bytes that have arrived; returns false if there are none yet.
  static bool Read(Poco::Net::StreamSocket& socket, std::string& received) {
    if (!socket.poll(Poco::Timespan(kPollMicroseconds),
                     Poco::Net::Socket::SELECT_READ)) {
      return false;
    }
    std::array<char, 4096> bytes{};
    const int count =
        socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (count <= 0) throw Poco::IOException("closed");
    received.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
  }
};

scripted_server::scripted_server(
    std::function<scripted_response(const std::string&, int)> respond)
    : internal_(std::make_unique<internal>()) {
  internal_->respond = std::move(respond);
  internal_->listener.bind(Poco::Net::SocketAddress("127.0.0.1:0"));
  internal_->listener.listen();
  internal_->acceptor = std::thread([this] { internal_->Accept(); });
}

scripted_server::~scripted_server() {
  internal_->stopping = true;
  internal_->acceptor.join();
  for (std::thread& worker : internal_->workers) worker.join();
}

std::string scripted_server::Address() const {
  return "127.0.0.1:" + std::to_string(internal_->listener.address().port());
}

int scripted_server::Requests() const { return internal_->requests; }

int scripted_server::Connections() const { return internal_->connections; }

int scripted_server::Closed() const { return internal_->closed; }

std::string MakeOkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace waxwingfront::tests
