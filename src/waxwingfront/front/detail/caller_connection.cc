#include "waxwingfront/front/detail/caller_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <memory>
#include <optional>
#include <utility>

#include "waxwingfront/core/json.h"
#include "waxwingfront/core/text.h"
#include "waxwingfront/front/detail/caller_request.h"
#include "waxwingfront/logging/log.h"
#include "waxwingfront/metrics/registry.h"
#include "waxwingfront/schema/gen/common.pb.h"

namespace waxwingfront::front::detail {
namespace {

constexpr std::string_view kModule = "front";
constexpr std::size_t kDiscardBytes = 16384;

}  // namespace

caller_connection::caller_connection(const Poco::Net::StreamSocket& socket,
                                     Poco::Net::HTTPServerParams::Ptr params,
                                     front_context& context,
                                     connection_watch& watch)
    : TCPServerConnection(socket),
      params_(std::move(params)),
      context_(context),
      handlers_(context),
      watch_(watch) {}

void caller_connection::run() {
  watched_connection watched(watch_, socket());
  try {
    Poco::Net::HTTPServerSession session(socket(), params_);
    while (AwaitRequest(session, watched) && ServeRequest(session, watched)) {
    }
    LingeringClose(watched);
  } catch (const Poco::Exception& /*failure*/) {
    // The caller closed the connection, or did not read its response within
    // the write timeout.
    return;
  }
}

bool caller_connection::AwaitRequest(Poco::Net::HTTPServerSession& session,
                                     watched_connection& watched) {
  watched.BeginPhase(watched_phase::kReading, context_.options.idle_timeout);
  const bool arrived = session.hasMoreRequests();
  const bool timed_out = watched.EndPhase();
  return arrived && !timed_out;
}

bool caller_connection::ServeRequest(Poco::Net::HTTPServerSession& session,
                                     watched_connection& watched) {
  watched.BeginPhase(watched_phase::kReading, context_.options.read_timeout);
  Poco::Net::HTTPServerResponseImpl response(session);
  std::optional<caller_request> request;
  try {
    request.emplace(response, session, *params_, watched, context_.draining);
  } catch (const Poco::Net::NoMessageException& /*closed*/) {
    if (watched.EndPhase()) RejectHead(session, watched, "");
    return false;
  } catch (const Poco::Net::MessageException& failure) {
    RejectHead(session, watched, failure.displayText());
    return false;
  }
  response.setVersion(request->getVersion());
  response.setKeepAlive(request->getKeepAlive() && session.canKeepAlive());
  const std::unique_ptr<Poco::Net::HTTPRequestHandler> handler(
      handlers_.createRequestHandler(*request));
  handler->handleRequest(*request, response);
  watched.EndPhase();
  session.setKeepAlive(response.getKeepAlive());
  return request->IsFullyRead() && response.getKeepAlive();
}

void caller_connection::RejectHead(Poco::Net::HTTPServerSession& session,
                                   watched_connection& watched,
                                   const std::string& detail) {
  core::error failure{
      .code = core::error_code::kInvalidRequest,
      .detail = detail +
                "; allowed are a URI of up to 16384 bytes and up to 100 "
                "headers with names of up to 256 and values of up to 8192 "
                "bytes"};
  if (watched.EndPhase()) {
    failure = {.code = core::error_code::kRequestTimeout,
               .detail = "the head did not arrive in time"};
  }
  CountRejection(context_, failure);
  logging::Info(kModule, "request head rejected as ",
                core::ErrorName(failure.code), ": ", failure.detail);
  schema::error_body body;
  body.set_type(std::string(core::ErrorName(failure.code)));
  body.set_detail(core::Printable(failure.detail));
  const std::string text = core::ToJson(body);
  Poco::Net::HTTPServerResponseImpl response(session);
  response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  response.setKeepAlive(false);
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(
      core::HttpStatus(failure.code)));
  response.setContentType("application/json");
  response.setContentLength64(static_cast<Poco::Int64>(text.size()));
  watched.BeginPhase(watched_phase::kWriting, context_.options.write_timeout);
  response.send() << text << std::flush;
}

void caller_connection::LingeringClose(watched_connection& watched) {
  // Closing a socket with unread input resets the connection, and the caller
  // might lose the response that says why its request was rejected.
  socket().shutdownSend();
  watched.BeginPhase(watched_phase::kReading, context_.options.read_timeout);
  std::array<char, kDiscardBytes> discarded{};
  while (socket().receiveBytes(discarded.data(), discarded.size()) > 0) {
  }
}

}  // namespace waxwingfront::front::detail
