#include "waxwingfront/front/front_server.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include <thread>
#include <utility>

#include "waxwingfront/front/detail/handlers.h"

namespace waxwingfront::front {
namespace {

// Connections that wait for a thread; more are refused.
constexpr int kMaxQueuedConnections = 256;
constexpr core::milliseconds kDrainPause{5};
constexpr int kIdleConnectionSeconds = 30;

}  // namespace

struct front_server::internal {
  internal(front_server_options options, request_router& router,
           jobs::job_service& jobs, metrics::registry& metrics)
      : context{.options = std::move(options),
                .router = router,
                .jobs = jobs,
                .metrics = metrics},
        threads(1, context.options.threads) {}

  detail::front_context context;
  Poco::ThreadPool threads;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

core::result<std::unique_ptr<front_server>> front_server::Start(
    front_server_options options, request_router& router,
    jobs::job_service& jobs, metrics::registry& metrics) {
  auto parts =
      std::make_unique<internal>(std::move(options), router, jobs, metrics);
  try {
    const Poco::Net::ServerSocket socket(
        Poco::Net::SocketAddress(parts->context.options.address));
    auto params = Poco::makeAuto<Poco::Net::HTTPServerParams>();
    params->setMaxThreads(parts->context.options.threads);
    params->setMaxQueued(kMaxQueuedConnections);
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(kIdleConnectionSeconds, 0));
    parts->server = std::make_unique<Poco::Net::HTTPServer>(
        new detail::handler_factory(parts->context), parts->threads, socket,
        params);
    parts->server->start();
  } catch (const Poco::Exception& failure) {
    return core::Failure(
        core::error_code::kInvalidSettings,
        parts->context.options.address + ": " + failure.displayText());
  }
  return std::unique_ptr<front_server>(new front_server(std::move(parts)));
}

front_server::front_server(std::unique_ptr<internal> parts)
    : internal_(std::move(parts)) {}

front_server::~front_server() {
  internal_->server->stopAll(true);
  internal_->threads.joinAll();
}

int front_server::Port() const { return internal_->server->port(); }

int front_server::InFlight() const { return internal_->context.in_flight; }

void front_server::BeginDrain() { internal_->context.draining = true; }

void front_server::Drain(core::milliseconds limit) {
  BeginDrain();
  const Poco::Net::HTTPServer& server = *internal_->server;
  const auto is_busy = [&server] {
    return server.currentConnections() > 0 || server.queuedConnections() > 0;
  };
  const core::monotonic_time end = core::Now() + limit;
  // Poco drops queued connections when it stops, so they are served first.
  while (is_busy() && core::Now() < end)
    std::this_thread::sleep_for(kDrainPause);
  internal_->server->stop();
  while (InFlight() > 0 && core::Now() < end) {
    std::this_thread::sleep_for(kDrainPause);
  }
}

}  // namespace waxwingfront::front
