// Bounds the time that callers take to send a request or to read a response.
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

// Registers one connection with the watch. Used by one thread only; the watch
// checks it from its own thread.
class watched_connection {
 public:
  // `watch` must outlive this object.
  watched_connection(connection_watch& watch,
                     const Poco::Net::StreamSocket& socket);
  watched_connection(const watched_connection&) = delete;
  watched_connection& operator=(const watched_connection&) = delete;
  ~watched_connection();

  // Starts a phase that may last for `limit`. If it takes longer, a read sees
  // the end of its input and a write fails.
  void BeginPhase(watched_phase phase, core::milliseconds limit);
  // Ends the phase. Returns true if its time had run out.
  bool EndPhase();

 private:
  friend class connection_watch;

  connection_watch& watch_;
  // Guarded by the watch's mutex.
  Poco::Net::StreamSocket socket_;
  watched_phase phase_ = watched_phase::kReading;
  std::optional<core::monotonic_time> phase_deadline_;
  bool expired_ = false;
};

// Shuts down connections whose phase takes too long. A socket's read timeout is
// not enough, because it bounds a single read: a caller that sends one byte
// from time to time would occupy its thread forever. One thread serves all
// connections.
class connection_watch {
 public:
  connection_watch();

  // Shuts down the connections whose phase has run out of time at `now`.
  void Expire(core::monotonic_time now);
  // Shuts down all connections, and those that are added later.
  void CloseAll();

 private:
  friend class watched_connection;

  std::mutex mutex_;
  std::set<watched_connection*> connections_;
  bool closed_ = false;
  // Declared last, so that it stops before the members that it uses are
  // destroyed.
  core::periodic_thread ticker_;
};

}  // namespace waxwingfront::front::detail

#endif  // WAXWINGFRONT_FRONT_DETAIL_CONNECTION_WATCH_H_
