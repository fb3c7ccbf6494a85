// Bounds the time that callers take to send a request or to receive a response.
#ifndef WAXWINGFRONT_FRONT_DETAIL_CONNECTION_WATCH_H_
#define WAXWINGFRONT_FRONT_DETAIL_CONNECTION_WATCH_H_

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <mutex>
#include <optional>
#include <set>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/periodic_thread.h"

namespace waxwingfront::front::detail {

enum class watched_phase { kReading, kWriting };

class connection_watch;

// One connection's place in the watch. Used by one thread; the watch looks at
// it from another.
class watched_connection {
 public:
  // `watch` must outlive this object.
  watched_connection(connection_watch& watch,
                     const Poco::Net::StreamSocket& socket);
  watched_connection(const watched_connection&) = delete;
  watched_connection& operator=(const watched_connection&) = delete;
  ~watched_connection();

  // Ends the connection's current phase `limit` from now: a read sees the end
  // of its input, a write fails.
  void Begin(watched_phase phase, core::milliseconds limit);
  // Ends the phase; returns whether its time had run out.
  bool End();

 private:
  friend class connection_watch;

  connection_watch& watch_;
  // Guarded by the watch's mutex.
  Poco::Net::StreamSocket socket_;
  watched_phase phase_ = watched_phase::kReading;
  std::optional<core::monotonic_time> end_;
  bool expired_ = false;
};

// A read timeout of the socket bounds one read only: a caller that sends a byte
// from time to time would hold its thread for ever. So one thread ends the
// connections whose phase takes too long as a whole.
class connection_watch {
 public:
  connection_watch();

  // Ends the phases whose time is over at `now`.
  void Expire(core::monotonic_time now);
  // Ends all connections, and those that are added later.
  void CloseAll();

 private:
  friend class watched_connection;

  std::mutex mutex_;
  std::set<watched_connection*> connections_;
  bool closed_ = false;
  // Last, so that it ends before the members that it uses.
  core::periodic_thread ticker_;
};

}  // namespace waxwingfront::front::detail

#endif  // WAXWINGFRONT_FRONT_DETAIL_CONNECTION_WATCH_H_
