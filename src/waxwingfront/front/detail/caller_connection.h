// Serves one connection of a caller: reads requests, passes them to handlers
// and closes the connection.
#ifndef WAXWINGFRONT_FRONT_DETAIL_CALLER_CONNECTION_H_
#define WAXWINGFRONT_FRONT_DETAIL_CALLER_CONNECTION_H_

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "waxwingfront/front/detail/connection_watch.h"
#include "waxwingfront/front/detail/handlers.h"

namespace waxwingfront::front::detail {

class caller_connection : public Poco::Net::TCPServerConnection {
 public:
  // The references must outlive this object.
  caller_connection(const Poco::Net::StreamSocket& socket,
                    Poco::Net::HTTPServerParams::Ptr params,
                    front_context& context, connection_watch& watch);

  void run() override;

 private:
  // Waits for the first byte of a request. Returns true if it arrived within
  // the idle timeout.
  bool AwaitRequest(Poco::Net::HTTPServerSession& session,
                    watched_connection& watched);
  // Reads one request and responds to it. Returns true if another request may
  // follow on the connection.
  bool ServeRequest(Poco::Net::HTTPServerSession& session,
                    watched_connection& watched);
  // Responds to a request whose head is malformed, too large or late.
  void RejectHead(Poco::Net::HTTPServerSession& session,
                  watched_connection& watched, const std::string& detail);
  // Ends the output and discards input until the caller closes the connection
  // or the read timeout passes, so that the caller can read the last response.
  void LingeringClose(watched_connection& watched);

  Poco::Net::HTTPServerParams::Ptr params_;
  front_context& context_;
  handler_factory handlers_;
  connection_watch& watch_;
};

class caller_connection_factory : public Poco::Net::TCPServerConnectionFactory {
 public:
  caller_connection_factory(Poco::Net::HTTPServerParams::Ptr params,
                            front_context& context, connection_watch& watch)
      : params_(std::move(params)), context_(context), watch_(watch) {}
  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new caller_connection(socket, params_, context_, watch_);
  }

 private:
  Poco::Net::HTTPServerParams::Ptr params_;
  front_context& context_;
  connection_watch& watch_;
};

}  // namespace waxwingfront::front::detail

#endif  // WAXWINGFRONT_FRONT_DETAIL_CALLER_CONNECTION_H_
