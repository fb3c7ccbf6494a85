// Waits for termination signals.
#ifndef WAXWINGFRONT_CLI_SIGNALS_H_
#define WAXWINGFRONT_CLI_SIGNALS_H_

#include <csignal>

namespace waxwingfront::cli {

// Blocks SIGTERM and SIGINT in this thread and the threads that it starts
// afterwards, so that `Wait` receives them.
class stop_signals {
 public:
  stop_signals();

  // Returns when one of the signals arrives.
  void Wait() const;

 private:
  sigset_t set_{};
};

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_SIGNALS_H_
