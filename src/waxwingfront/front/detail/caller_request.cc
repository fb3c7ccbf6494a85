#include "waxwingfront/front/detail/caller_request.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPFixedLengthStream.h>
#include <Poco/Net/HTTPHeaderStream.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

namespace waxwingfront::front::detail {
namespace {

using Poco::Net::HTTPServerResponse;

constexpr std::size_t kReadChunkBytes = 16384;

// True if HTTP allows a body in a response to `method` with `status`.
bool MayHaveBody(const std::string& method, int status) {
  return method != Poco::Net::HTTPRequest::HTTP_HEAD &&
         status != HTTPServerResponse::HTTP_NO_CONTENT &&
         status != HTTPServerResponse::HTTP_NOT_MODIFIED;
}

// Returns the declared length of the body, 0 if there is none. Parsed here
// because Poco's number parser reads "1,0" as 10, and its header look-up
// returns the first of two lengths.
std::int64_t BodyLength(const Poco::Net::HTTPRequest& request) {
  std::int64_t length = 0;
  int count = 0;
  for (const auto& [name, value] : request) {
    if (Poco::icompare(name, Poco::Net::HTTPMessage::CONTENT_LENGTH) != 0)
      continue;
    const char* end = value.data() + value.size();
    const auto [rest, failure] = std::from_chars(value.data(), end, length);
    const bool valid = failure == std::errc() && rest == end && length >= 0;
    if (!valid || ++count > 1) {
      throw Poco::Net::MessageException(
          "allowed is one Content-Length, a whole number of 0 or more");
    }
  }
  return length;
}

}  // namespace

caller_request::caller_request(Poco::Net::HTTPServerResponse& response,
                               Poco::Net::HTTPServerSession& session,
                               const Poco::Net::HTTPServerParams& params,
                               watched_connection& watched,
                               const std::atomic<bool>& draining)
    : response_(response),
      params_(params),
      watched_(watched),
      draining_(draining) {
  Poco::Net::HTTPHeaderInputStream head(session);
  read(head);
  if (!head.good())
    throw Poco::Net::MessageException("the request's head is cut short");
  client_address_ = session.clientAddress();
  server_address_ = session.serverAddress();
  const std::int64_t length = BodyLength(*this);
  stream_ =
      std::make_unique<Poco::Net::HTTPFixedLengthInputStream>(session, length);
  fully_read_ = length == 0 && !has("Transfer-Encoding");
}

core::result<std::string> caller_request::ReadBody(std::size_t limit) {
  // Poco's reader of chunked bodies accepts a truncated body as complete.
  if (has("Transfer-Encoding")) {
    return core::Failure(core::error_code::kLengthRequired,
                         "a body needs a Content-Length; a Transfer-Encoding "
                         "is not accepted");
  }
  const std::int64_t length = BodyLength(*this);
  if (std::cmp_greater(length, limit)) {
    return core::Failure(
        core::error_code::kRequestTooLarge,
        "a body may have at most " + std::to_string(limit) + " bytes");
  }
  if (getExpectContinue()) response_.sendContinue();
  std::string body;
  std::array<char, kReadChunkBytes> chunk{};
  while (stream_->good() && std::cmp_less(body.size(), length)) {
    stream_->read(chunk.data(), chunk.size());
    body.append(chunk.data(), static_cast<std::size_t>(stream_->gcount()));
  }
  fully_read_ = std::cmp_equal(body.size(), length);
  const bool timed_out = watched_.EndPhase();
  if (fully_read_) return body;
  if (timed_out)
    return core::Failure(core::error_code::kRequestTimeout,
                         "the body did not arrive in time");
  return core::Failure(core::error_code::kInvalidRequest,
                       "the body is cut short");
}

void caller_request::Respond(int status, const std::string& body,
                             core::milliseconds limit) {
  response_.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
  response_.setReason(
      HTTPServerResponse::getReasonForStatus(response_.getStatus()));
  response_.setContentLength64(static_cast<Poco::Int64>(body.size()));
  if (!fully_read_ || draining_) response_.setKeepAlive(false);
  watched_.BeginPhase(watched_phase::kWriting, limit);
  std::ostream& out = response_.send();
  if (MayHaveBody(getMethod(), status))
    out.write(body.data(), static_cast<std::streamsize>(body.size()));
  out.flush();
}

}  // namespace waxwingfront::front::detail
