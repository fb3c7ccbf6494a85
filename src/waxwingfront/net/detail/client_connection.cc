#include "waxwingfront/net/detail/client_connection.h"

#include <poll.h>

#include <algorithm>
#include <utility>

#include "waxwingfront/net/detail/socket_readiness.h"

namespace waxwingfront::net::detail {
namespace {

// Bytes read from a socket at once. The small size holds a usual response; the
// large one keeps the number of reads of a large response low, since each read
// takes an iteration of the event loop.
constexpr std::size_t kSmallReadBytes = 4UL * 1024;
constexpr std::size_t kLargeReadBytes = 64UL * 1024;
constexpr unsigned kHttpVersion = 11;

}  // namespace

void client_connection::SetRequest(http_call& call) {
  namespace http = boost::beast::http;
  request = {};
  request.method_string(call.method);
  request.target(call.target);
  request.version(kHttpVersion);
  request.set(http::field::host, call.host.empty() ? call.address : call.host);
  for (const auto& [name, value] : call.headers) request.set(name, value);
  if (!call.body.empty()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = std::move(call.body);
  request.prepare_payload();
}

void client_connection::Begin(http_call& call,
                              std::function<void(core::result<http_reply>)> end,
                              core::monotonic_time now) {
  begun = now;
  done = std::move(end);
  on_late_response = std::move(call.on_late_response);
  timeout = call.timeout;
  late_response_timeout = call.late_response_timeout;
  call_deadline = now + (call.total_timeout > core::milliseconds(0)
                             ? std::max(call.timeout, call.total_timeout)
                             : 2 * call.timeout);
  step_deadline = now + call.timeout;
  extended = false;
}

std::size_t client_connection::BeginWrite(boost::system::error_code& error) {
  stage = call_stage::kWriting;
  serializer.emplace(request);
  return boost::beast::http::write(socket, *serializer, error);
}

void client_connection::RestartStep(core::monotonic_time now) {
  if (!done) return;
  extended = false;
  step_deadline = std::min(now + timeout, call_deadline);
}

std::size_t client_connection::ReadBytes() const {
  const bool large =
      parser->is_header_done() &&
      parser->content_length().value_or(kLargeReadBytes) > kSmallReadBytes;
  return large ? kLargeReadBytes : kSmallReadBytes;
}

bool client_connection::IsSocketReady() {
  const bool reads = stage == call_stage::kReading;
  return IsReady(socket.native_handle(), reads ? POLLIN : POLLOUT);
}

}  // namespace waxwingfront::net::detail
