// Parses the journals of the stand-in workers.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_JOURNAL_H_
#define WAXWINGFRONT_TESTS_SUPPORT_JOURNAL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwingfront::tests {

// One attempt that ran, with times of the host's monotonic clock.
struct attempt_run {
  int worker = 0;
  std::int64_t task = 0;
  int attempt = 0;
  std::int64_t start_ms = 0;
  // INT64_MAX if the journal has no end line for the attempt.
  std::int64_t end_ms = INT64_MAX;
  bool finished = false;
};

// Returns the attempts of `job`, given the journals of all workers in order.
std::vector<attempt_run> RunsOf(const std::string& job,
                                const std::vector<std::string>& journals);

// Describes the tasks of which two attempts overlapped in time, and the tasks
// that did not finish exactly once; empty if there are none.
std::string FindFaults(const std::vector<attempt_run>& runs,
                       std::int64_t task_count);

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_JOURNAL_H_
