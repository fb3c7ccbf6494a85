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

}  // namespace waxwingfront::cli
