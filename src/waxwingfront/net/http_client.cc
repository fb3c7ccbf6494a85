#include "waxwingfront/net/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <istream>
#include <iterator>
#include <ostream>
#include <utility>

namespace waxwingfront::net {
namespace {

// Connections that were idle for longer are not reused, since the server may be
// closing them.
constexpr core::milliseconds kMaxIdleTime{3000};

Poco::Timespan ToTimespan(core::milliseconds duration) {
  return Poco::Timespan(std::chrono::microseconds(duration).count());
}

}  // namespace

struct http_client::connection {
  explicit connection(const Poco::Net::StreamSocket& socket)
      : session(socket) {}
  Poco::Net::HTTPClientSession session;
  core::monotonic_time idle_since;
};

http_client::http_client(http_client_options options)
    : options_(std::move(options)) {}

http_client::~http_client() = default;

std::unique_ptr<http_client::connection> http_client::TakeIdle() {
  const std::lock_guard lock(mutex_);
  while (!idle_.empty()) {
    std::unique_ptr<connection> candidate = std::move(idle_.back());
    idle_.pop_back();
    if (core::Now() - candidate->idle_since < kMaxIdleTime) return candidate;
  }
  return nullptr;
}

void http_client::CloseIdle() {
  const std::lock_guard lock(mutex_);
  idle_.clear();
}

core::result<std::unique_ptr<http_client::connection>> http_client::Connect()
    const {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(options_.address),
                   ToTimespan(options_.timeout));
    socket.setNoDelay(true);
    // Set on the socket itself, because a session applies its timeouts only to
    // connections that it opens.
    socket.setReceiveTimeout(ToTimespan(options_.timeout));
    socket.setSendTimeout(ToTimespan(options_.timeout));
    auto fresh = std::make_unique<connection>(socket);
    fresh->session.setKeepAlive(true);
    return fresh;
  } catch (const Poco::Exception& failure) {
    return core::Failure(core::error_code::kUnreachable,
                         options_.address + ": " + failure.displayText());
  }
}

core::result<http_reply> http_client::Send(std::string_view method,
                                           std::string_view path,
                                           std::string_view body,
                                           const http_headers& headers) {
  std::unique_ptr<connection> link = TakeIdle();
  if (link == nullptr) {
    auto fresh = Connect();
    if (!fresh) return tl::unexpected(fresh.error());
    link = std::move(*fresh);
  }
  try {
    Poco::Net::HTTPRequest request(std::string(method), std::string(path),
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : headers) request.set(name, value);
    request.setHost(options_.address);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    request.setKeepAlive(true);
    link->session.sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& stream = link->session.receiveResponse(response);
    http_reply reply{.status = response.getStatus()};
    reply.body.assign(std::istreambuf_iterator<char>(stream), {});
    const bool complete = !response.hasContentLength() ||
                          static_cast<Poco::Int64>(reply.body.size()) ==
                              response.getContentLength64();
    if (!complete) {
      return core::Failure(core::error_code::kOutcomeUnknown,
                           options_.address + ": short answer");
    }
    if (response.getKeepAlive()) {
      link->idle_since = core::Now();
      const std::lock_guard lock(mutex_);
      idle_.push_back(std::move(link));
    }
    return reply;
  } catch (const Poco::Exception& failure) {
    return core::Failure(core::error_code::kOutcomeUnknown,
                         options_.address + ": " + failure.displayText());
  } catch (const std::exception& failure) {
    return core::Failure(core::error_code::kOutcomeUnknown,
                         options_.address + ": " + failure.what());
  }
}

}  // namespace waxwingfront::net
