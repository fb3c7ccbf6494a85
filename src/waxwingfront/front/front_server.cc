#include "waxwingfront/front/front_server.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <thread>
#include <utility>

#include "waxwingfront/front/detail/caller_connection.h"
#include "waxwingfront/front/detail/connection_watch.h"
#include "waxwingfront/front/detail/handlers.h"

namespace waxwingfront::front {
namespace {

// Connections that may wait for a thread; further ones are refused.
constexpr int kMaxQueuedConnections = 256;
constexpr core::milliseconds kDrainPollInterval{5};

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
  detail::connection_watch watch;
  Poco::ThreadPool threads;
  std::unique_ptr<Poco::Net::TCPServer> server;
};

core::result<std::unique_ptr<front_server>> front_server::Start(
    front_server_options options, request_router& router,
    jobs::job_service& jobs, metrics::registry& metrics) {
  auto state =
      std::make_unique<internal>(std::move(options), router, jobs, metrics);
  try {
    const Poco::Net::ServerSocket socket(
        Poco::Net::SocketAddress(state->context.options.address));
    auto params = Poco::makeAuto<Poco::Net::HTTPServerParams>();
    params->setMaxThreads(state->context.options.threads);
    params->setMaxQueued(kMaxQueuedConnections);
    params->setKeepAlive(true);
    // Only the watch bounds waiting, reading and writing. A shorter timeout of
    // Poco could end a phase first, and the caller would not receive the
    // reason.
    params->setTimeout(Poco::Timespan(Poco::Timespan::DAYS));
    params->setKeepAliveTimeout(Poco::Timespan(Poco::Timespan::DAYS));
    state->server = std::make_unique<Poco::Net::TCPServer>(
        new detail::caller_connection_factory(params, state->context,
                                              state->watch),
        state->threads, socket, params);
    state->server->start();
  } catch (const Poco::Exception& failure) {
    return core::Failure(
        core::error_code::kInvalidSettings,
        state->context.options.address + ": " + failure.displayText());
  }
  return std::unique_ptr<front_server>(new front_server(std::move(state)));
}

front_server::front_server(std::unique_ptr<internal> state)
    : internal_(std::move(state)) {}

front_server::~front_server() {
  internal_->server->stop();
  internal_->watch.CloseAll();
  internal_->threads.joinAll();
}

int front_server::Port() const { return internal_->server->port(); }

int front_server::InFlight() const { return internal_->context.in_flight; }

void front_server::BeginDrain() { internal_->context.draining = true; }

void front_server::Drain(core::milliseconds limit) {
  BeginDrain();
  const Poco::Net::TCPServer& server = *internal_->server;
  const auto is_busy = [&server] {
    return server.currentConnections() > 0 || server.queuedConnections() > 0;
  };
  const core::monotonic_time end = core::Now() + limit;
  // Poco drops queued connections when it stops, so they are served before.
  while (is_busy() && core::Now() < end)
    std::this_thread::sleep_for(kDrainPollInterval);
  internal_->server->stop();
  while (InFlight() > 0 && core::Now() < end) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

}  // namespace waxwingfront::front
