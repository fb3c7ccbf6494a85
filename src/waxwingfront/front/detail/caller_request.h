// A request read from a caller's connection.
#ifndef WAXWINGFRONT_FRONT_DETAIL_CALLER_REQUEST_H_
#define WAXWINGFRONT_FRONT_DETAIL_CALLER_REQUEST_H_

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <istream>
#include <memory>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/front/detail/connection_watch.h"

namespace waxwingfront::front::detail {

// Replaces Poco's request class, which accepts a head that is truncated within
// a header's value as complete.
class caller_request : public Poco::Net::HTTPServerRequest {
 public:
  // Reads the head. Throws Poco::Net::MessageException if it is malformed, too
  // long or truncated. The references must outlive this object.
  caller_request(Poco::Net::HTTPServerResponse& response,
                 Poco::Net::HTTPServerSession& session,
                 const Poco::Net::HTTPServerParams& params,
                 watched_connection& watched,
                 const std::atomic<bool>& draining);

  std::istream& stream() override { return *stream_; }
  const Poco::Net::SocketAddress& clientAddress() const override {
    return client_address_;
  }
  const Poco::Net::SocketAddress& serverAddress() const override {
    return server_address_;
  }
  const Poco::Net::HTTPServerParams& serverParams() const override {
    return params_;
  }
  Poco::Net::HTTPServerResponse& response() const override { return response_; }
  bool secure() const override { return false; }

  // True if all bytes of the request were read, so that the connection may
  // carry another one.
  bool IsFullyRead() const { return fully_read_; }

  // Reads the whole body. Fails with `kLengthRequired`, `kRequestTooLarge`
  // (more than `limit` bytes), `kRequestTimeout` or `kInvalidRequest`
  // (truncated).
  core::result<std::string> ReadBody(std::size_t limit);

  // Sends the response with the headers that are set so far. The write fails if
  // the caller has not read it within `limit`.
  void Respond(int status, const std::string& body, core::milliseconds limit);

 private:
  Poco::Net::HTTPServerResponse& response_;
  const Poco::Net::HTTPServerParams& params_;
  watched_connection& watched_;
  // Set while the server drains; the connection is then closed after the next
  // response.
  const std::atomic<bool>& draining_;
  std::unique_ptr<std::istream> stream_;
  Poco::Net::SocketAddress client_address_;
  Poco::Net::SocketAddress server_address_;
  bool fully_read_ = false;
};

}  // namespace waxwingfront::front::detail

#endif  // WAXWINGFRONT_FRONT_DETAIL_CALLER_REQUEST_H_
