// A thread that calls a function periodically.
#ifndef WAXWINGFRONT_CORE_PERIODIC_THREAD_H_
#define WAXWINGFRONT_CORE_PERIODIC_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::core {

// Calls `task` immediately and then again `period` after each return, until
// destroyed.
class periodic_thread {
 public:
  periodic_thread(milliseconds period, std::function<void()> task);
  periodic_thread(const periodic_thread&) = delete;
  periodic_thread& operator=(const periodic_thread&) = delete;
  ~periodic_thread();

 private:
  void Run();

  milliseconds period_;
  std::function<void()> task_;
  std::mutex mutex_;
  std::condition_variable stop_requested_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_PERIODIC_THREAD_H_
