#include "waxwingfront/net/event_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <memory>
#include <utility>

namespace waxwingfront::net {

struct event_loop::internal {
  boost::asio::io_context context{1};
  boost::asio::signal_set signals{context};
  std::function<void(int)> on_signal;

  void AwaitSignal() {
    signals.async_wait(
        [this](const boost::system::error_code& failure, int number) {
          if (failure) return;
          on_signal(number);
          AwaitSignal();
        });
  }
};

event_loop::event_loop() : internal_(std::make_unique<internal>()) {}

event_loop::~event_loop() = default;

void event_loop::Run() {
  internal_->context.restart();
  const auto work = boost::asio::make_work_guard(internal_->context);
  while (!internal_->context.stopped()) {
    try {
      internal_->context.run();
    } catch (const std::exception& failure) {
      if (!on_exception) throw;
      on_exception(failure.what());
    }
  }
}

void event_loop::Stop() { internal_->context.stop(); }

void event_loop::Post(std::function<void()> action) {
  boost::asio::post(internal_->context, std::move(action));
}

void event_loop::After(core::milliseconds delay, std::function<void()> action) {
  auto timer =
      std::make_unique<boost::asio::steady_timer>(internal_->context, delay);
  boost::asio::steady_timer& waiting = *timer;
  waiting.async_wait([timer = std::move(timer), action = std::move(action)](
                         const boost::system::error_code& failure) {
    if (!failure) action();
  });
}

void event_loop::OnSignals(std::span<const int> signals,
                           std::function<void(int)> action) {
  for (const int number : signals) internal_->signals.add(number);
  internal_->on_signal = std::move(action);
  internal_->AwaitSignal();
}

boost::asio::io_context& event_loop::Context() { return internal_->context; }

}  // namespace waxwingfront::net
