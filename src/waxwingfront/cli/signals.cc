#include "waxwingfront/cli/signals.h"

#include <pthread.h>

namespace waxwingfront::cli {

stop_signals::stop_signals() {
  sigemptyset(&set_);
  sigaddset(&set_, SIGTERM);
  sigaddset(&set_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set_, nullptr);
}

void stop_signals::Wait() const {
  int signal = 0;
  sigwait(&set_, &signal);
}

held_signals::held_signals(std::span<const int> signals) {
  sigemptyset(&set_);
  for (const int number : signals) sigaddset(&set_, number);
  Hold();
}

void held_signals::Release() const {
  pthread_sigmask(SIG_UNBLOCK, &set_, nullptr);
}

bool held_signals::StopPending() {
  sigset_t pending;
  sigemptyset(&pending);
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 ||
         sigismember(&pending, SIGINT) == 1;
}

void held_signals::Hold() const { pthread_sigmask(SIG_BLOCK, &set_, nullptr); }

}  // namespace waxwingfront::cli
