#include "waxwingfront/standins/http_service.h"

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>

#include <iterator>
#include <utility>

namespace waxwingfront::standins {
namespace {

using handle_function = std::function<http_response(const http_call&)>;

constexpr int kKeepAliveSeconds = 60;

class function_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit function_handler(const handle_function& handle) : handle_(handle) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    http_call call{.method = request.getMethod(), .path = request.getURI()};
    for (const auto& [name, value] : request)
      call.headers[Poco::toLower(name)] = value;
    call.body.assign(std::istreambuf_iterator<char>(request.stream()), {});
    const http_response result = handle_(call);
    if (result.drop) {
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request)
          .socket()
          .shutdown();
      return;
    }
    response.setStatus(
        static_cast<Poco::Net::HTTPServerResponse::HTTPStatus>(result.status));
    response.setContentType("application/json");
    for (const auto& [name, value] : result.headers) response.set(name, value);
    response.sendBuffer(result.body.data(), result.body.size());
  }

 private:
  const handle_function& handle_;
};

class function_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit function_factory(handle_function handle)
      : handle_(std::move(handle)) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new function_handler(handle_);
  }

 private:
  handle_function handle_;
};

}  // namespace

struct http_service::internal {
  explicit internal(int thread_count) : threads(1, thread_count) {}
  Poco::ThreadPool threads;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

http_service::http_service(const std::string& address, handle_function handle,
                           int threads)
    : internal_(std::make_unique<internal>(threads)) {
  const Poco::Net::ServerSocket socket{Poco::Net::SocketAddress(address)};
  auto params = Poco::makeAuto<Poco::Net::HTTPServerParams>();
  params->setMaxThreads(threads);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  internal_->server = std::make_unique<Poco::Net::HTTPServer>(
      new function_factory(std::move(handle)), internal_->threads, socket,
      params);
  internal_->server->start();
}

http_service::~http_service() {
  internal_->server->stopAll(true);
  internal_->threads.joinAll();
}

std::string http_service::Address() const {
  return "127.0.0.1:" + std::to_string(internal_->server->port());
}

}  // namespace waxwingfront::standins
