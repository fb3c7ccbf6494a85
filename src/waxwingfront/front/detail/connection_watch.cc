#include "waxwingfront/front/detail/connection_watch.h"

#include <Poco/Exception.h>

namespace waxwingfront::front::detail {
namespace {

constexpr core::milliseconds kCheckInterval{25};

// Ignores errors, since the peer may have closed the connection already.
void ShutDown(Poco::Net::StreamSocket& socket, watched_phase phase) {
  try {
    if (phase == watched_phase::kReading) {
      socket.shutdownReceive();
    } else {
      socket.shutdown();
    }
  } catch (const Poco::Exception& /*closed*/) {
    return;
  }
}

}  // namespace

watched_connection::watched_connection(connection_watch& watch,
                                       const Poco::Net::StreamSocket& socket)
    : watch_(watch), socket_(socket) {
  const std::lock_guard lock(watch_.mutex_);
  watch_.connections_.insert(this);
  if (watch_.closed_) ShutDown(socket_, watched_phase::kWriting);
}

watched_connection::~watched_connection() {
  const std::lock_guard lock(watch_.mutex_);
  watch_.connections_.erase(this);
}

void watched_connection::BeginPhase(watched_phase phase,
                                    core::milliseconds limit) {
  const std::lock_guard lock(watch_.mutex_);
  phase_ = phase;
  phase_deadline_ = core::Now() + limit;
  expired_ = false;
}

bool watched_connection::EndPhase() {
  const std::lock_guard lock(watch_.mutex_);
  phase_deadline_.reset();
  return expired_;
}

connection_watch::connection_watch()
    : ticker_(kCheckInterval, [this] { Expire(core::Now()); }) {}

void connection_watch::Expire(core::monotonic_time now) {
  const std::lock_guard lock(mutex_);
  for (watched_connection* connection : connections_) {
    if (!connection->phase_deadline_.has_value() ||
        now < *connection->phase_deadline_)
      continue;
    ShutDown(connection->socket_, connection->phase_);
    connection->phase_deadline_.reset();
    connection->expired_ = true;
  }
}

void connection_watch::CloseAll() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  for (watched_connection* connection : connections_) {
    ShutDown(connection->socket_, watched_phase::kWriting);
  }
}

}  // namespace waxwingfront::front::detail
