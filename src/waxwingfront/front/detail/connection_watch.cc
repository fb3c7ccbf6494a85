#include "waxwingfront/front/detail/connection_watch.h"

#include <Poco/Exception.h>

namespace waxwingfront::front::detail {
namespace {

constexpr core::milliseconds kTick{25};

// The other side may have closed the connection already; then nothing is left
// to do.
void Shut(Poco::Net::StreamSocket& socket, watched_phase phase) {
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
  if (watch_.closed_) Shut(socket_, watched_phase::kWriting);
}

watched_connection::~watched_connection() {
  const std::lock_guard lock(watch_.mutex_);
  watch_.connections_.erase(this);
}

void watched_connection::Begin(watched_phase phase, core::milliseconds limit) {
  const std::lock_guard lock(watch_.mutex_);
  phase_ = phase;
  end_ = core::Now() + limit;
  expired_ = false;
}

bool watched_connection::End() {
  const std::lock_guard lock(watch_.mutex_);
  end_.reset();
  return expired_;
}

connection_watch::connection_watch()
    : ticker_(kTick, [this] { Expire(core::Now()); }) {}

void connection_watch::Expire(core::monotonic_time now) {
  const std::lock_guard lock(mutex_);
  for (watched_connection* item : connections_) {
    if (!item->end_.has_value() || now < *item->end_) continue;
    Shut(item->socket_, item->phase_);
    item->end_.reset();
    item->expired_ = true;
  }
}

void connection_watch::CloseAll() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  for (watched_connection* item : connections_) {
    Shut(item->socket_, watched_phase::kWriting);
  }
}

}  // namespace waxwingfront::front::detail
