// Single-threaded event loop for sockets, timers and signals.
#ifndef WAXWINGFRONT_NET_EVENT_LOOP_H_
#define WAXWINGFRONT_NET_EVENT_LOOP_H_

#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "waxwingfront/core/clock.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace waxwingfront::net {

class event_loop {
 public:
  event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  ~event_loop();

  // Called with the exception of a handler, after which the loop continues. If
  // it is not set, `Run` throws the exception.
  std::function<void(std::string_view cause)> on_exception;

  // Runs until `Stop`.
  void Run();
  void Stop();

  // Calls `action` from the event loop, after the work that is already queued.
  void Post(std::function<void()> action);

  // Calls `action` once, `delay` from now.
  void After(core::milliseconds delay, std::function<void()> action);

  // Calls `action` with the number of each signal that arrives.
  void OnSignals(std::span<const int> signals, std::function<void(int)> action);

  boost::asio::io_context& Context();

 private:
  struct internal;
  std::unique_ptr<internal> internal_;
};

}  // namespace waxwingfront::net

#endif  // WAXWINGFRONT_NET_EVENT_LOOP_H_
