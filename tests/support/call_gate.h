// Blocks a call of another thread until the test opens the gate.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_CALL_GATE_H_
#define WAXWINGFRONT_TESTS_SUPPORT_CALL_GATE_H_

#include <condition_variable>
#include <mutex>

namespace waxwingfront::tests {

class call_gate {
 public:
  // Blocks the calling thread until the gate is open.
  void Pass() {
    std::unique_lock lock(mutex_);
    reached_ = true;
    changed_.notify_all();
    changed_.wait(lock, [this] { return open_; });
  }
  // Blocks until a thread has called `Pass`.
  void AwaitReached() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return reached_; });
  }
  void Open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    changed_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool reached_ = false;
  bool open_ = false;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_CALL_GATE_H_
