// A child process that a test starts, signals and waits for.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_CHILD_PROCESS_H_
#define WAXWINGFRONT_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace waxwingfront::tests {

class child_process {
 public:
  // Starts `program` with `arguments` and its standard output redirected to
  // `ReadLine`.
  child_process(const std::string& program,
                const std::vector<std::string>& arguments);
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  // Kills the process with SIGKILL if it is still running.
  ~child_process();

  // Returns the next line of standard output without its newline; empty at the
  // end of the output.
  std::string ReadLine() const;

  pid_t Id() const { return id_; }

  // Sends a signal, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM.
  void Signal(int number) const;

  // Waits for the process to exit. Returns its exit code, or the negated number
  // of the signal that terminated it.
  int Wait();

 private:
  pid_t id_ = -1;
  int output_ = -1;
};

// Returns an address of 127.0.0.1 with a port that stays reserved for this
// process; a server that it starts can listen there.
std::string FreeAddress();

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_CHILD_PROCESS_H_
