#include "waxwingfront/core/periodic_thread.h"

#include <utility>

namespace waxwingfront::core {

periodic_thread::periodic_thread(milliseconds period,
                                 std::function<void()> task)
    : period_(period), task_(std::move(task)), thread_([this] { Run(); }) {}

periodic_thread::~periodic_thread() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  thread_.join();
}

void periodic_thread::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    task_();
    lock.lock();
    stop_requested_.wait_for(lock, period_, [this] { return stopping_; });
  }
}

}  // namespace waxwingfront::core
