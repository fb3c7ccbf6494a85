#include "waxwingfront/front/upstream.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <utility>

namespace waxwingfront::front {
namespace {

constexpr std::string_view kNotStartedHeader = "Waxwingfront-Not-Started";
constexpr std::string_view kDeadlineHeader = "Waxwingfront-Deadline-Ms";
constexpr std::string_view kRequestIdHeader = "Waxwingfront-Request-Id";
constexpr std::size_t kReadChunkBytes = 16384;

core::milliseconds TimeLeft(core::monotonic_time deadline) {
  return std::chrono::duration_cast<core::milliseconds>(deadline - core::Now());
}

Poco::Timespan ToTimespan(core::milliseconds duration) {
  // Poco takes zero as no limit.
  const core::milliseconds least = std::max(duration, core::milliseconds(1));
  return Poco::Timespan(std::chrono::microseconds(least).count());
}

tl::unexpected<core::error> Unknown(const std::string& detail) {
  return core::Failure(core::error_code::kOutcomeUnknown, detail);
}

Poco::Net::HTTPRequest ToHttp(const service_request& request,
                              const std::string& address) {
  Poco::Net::HTTPRequest http(request.method, request.path,
                              Poco::Net::HTTPMessage::HTTP_1_1);
  for (const auto& [name, value] : request.headers) http.add(name, value);
  http.set(std::string(kDeadlineHeader),
           std::to_string(TimeLeft(request.deadline).count()));
  http.set(std::string(kRequestIdHeader), request.id);
  http.setHost(address);
  http.setKeepAlive(true);
  http.setContentLength(static_cast<std::streamsize>(request.body.size()));
  return http;
}

}  // namespace

struct upstream::connection {
  explicit connection(const Poco::Net::StreamSocket& socket)
      : session(socket) {}
  Poco::Net::HTTPClientSession session;
  bool reusable = false;
};

upstream::upstream(upstream_options options) : options_(std::move(options)) {}

upstream::~upstream() = default;

bool upstream::TryAcquireSlot() {
  int taken = outstanding_.load(std::memory_order_relaxed);
  while (taken < options_.executor.slots) {
    if (outstanding_.compare_exchange_weak(taken, taken + 1)) return true;
  }
  return false;
}

void upstream::ReleaseSlot() { outstanding_.fetch_sub(1); }

std::unique_ptr<upstream::connection> upstream::TakeIdle() {
  const std::lock_guard lock(mutex_);
  while (!idle_.empty()) {
    std::unique_ptr<connection> candidate = std::move(idle_.back());
    idle_.pop_back();
    // An idle connection with something to read was closed, or carries an
    // answer nobody asked for.
    const bool quiet = !candidate->session.socket().poll(
        Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    if (quiet) return candidate;
  }
  return nullptr;
}

core::result<std::unique_ptr<upstream::connection>> upstream::Connect(
    core::monotonic_time deadline) const {
  try {
    Poco::Net::StreamSocket socket;
    const core::milliseconds limit =
        std::min(options_.connect_timeout, TimeLeft(deadline));
    socket.connect(Poco::Net::SocketAddress(options_.executor.address),
                   ToTimespan(limit));
    socket.setNoDelay(true);
    auto fresh = std::make_unique<connection>(socket);
    fresh->session.setKeepAlive(true);
    return fresh;
  } catch (const Poco::Exception& failure) {
    return core::Failure(core::error_code::kNotRun,
                         "no connection to " + options_.executor.id + ": " +
                             failure.displayText());
  }
}

core::result<service_reply> upstream::Send(const service_request& request) {
  std::unique_ptr<connection> link = TakeIdle();
  if (link == nullptr) {
    auto fresh = Connect(request.deadline);
    if (!fresh) return tl::unexpected(fresh.error());
    link = std::move(*fresh);
  }
  core::result<service_reply> reply = Unknown("no answer");
  try {
    reply = Exchange(*link, request);
  } catch (const std::exception& failure) {
    return Unknown(options_.executor.id + ": " + failure.what());
  }
  // Only a connection whose last answer was read whole may carry another
  // request.
  if (link->reusable) {
    const std::lock_guard lock(mutex_);
    idle_.push_back(std::move(link));
  }
  return reply;
}

core::result<service_reply> upstream::Exchange(
    connection& link, const service_request& request) const {
  link.reusable = false;
  link.session.setTimeout(ToTimespan(TimeLeft(request.deadline)));
  Poco::Net::HTTPRequest http = ToHttp(request, options_.executor.address);
  link.session.sendRequest(http) << request.body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& stream = link.session.receiveResponse(response);
  service_reply reply{.status = response.getStatus()};
  std::array<char, kReadChunkBytes> chunk{};
  while (stream.good()) {
    stream.read(chunk.data(), chunk.size());
    reply.body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
    if (reply.body.size() > options_.max_body_bytes)
      return Unknown("the answer is too large");
    if (TimeLeft(request.deadline).count() <= 0)
      return Unknown("the deadline passed");
  }
  const bool has_body = request.method != "HEAD";
  const bool whole =
      !has_body || (response.hasContentLength() &&
                    static_cast<Poco::Int64>(reply.body.size()) ==
                        response.getContentLength64());
  if (!whole) return Unknown("the answer is not whole");
  link.reusable = response.getKeepAlive();
  if (response.getStatus() ==
          Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
      response.get(std::string(kNotStartedHeader), "") == "1") {
    return core::Failure(core::error_code::kNotRun,
                         options_.executor.id + " did not start it");
  }
  for (const auto& [name, value] : response) {
    if (!IsHopByHop(name)) reply.headers.emplace_back(name, value);
  }
  return reply;
}

}  // namespace waxwingfront::front
