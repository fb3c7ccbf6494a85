// Termination signals, and signals that have to wait for their handlers.
#ifndef WAXWINGFRONT_CLI_SIGNALS_H_
#define WAXWINGFRONT_CLI_SIGNALS_H_

#include <csignal>
#include <span>

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

// Blocks signals in this thread from its construction to the end of the
// process, except between `Release` and `Hold`. A blocked signal stays pending.
class held_signals {
 public:
  explicit held_signals(std::span<const int> signals);

  // Unblocks the signals, even if the parent process had blocked them.
  void Release() const;
  void Hold() const;

  // Returns true if SIGTERM or SIGINT is pending.
  static bool StopPending();

 private:
  sigset_t set_{};
};

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_SIGNALS_H_
