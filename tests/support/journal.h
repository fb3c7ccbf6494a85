// Reads the journals of the stand-in workers.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_JOURNAL_H_
#define WAXWINGFRONT_TESTS_SUPPORT_JOURNAL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwingfront::tests {

// One attempt that ran, with times of the machine's monotonic clock.
struct attempt_run {
  int worker = 0;
  std::int64_t task = 0;
  int attempt = 0;
  std::int64_t start_ms = 0;
  // The time of the end; for an attempt without an end line the end of time.
  std::int64_t end_ms = INT64_MAX;
  bool finished = false;
};

// The attempts of `job`, from the journals of all workers in order.
std::vector<attempt_run> RunsOf(const std::string& job,
                                const std::vector<std::string>& journals);

// Sentences about tasks that ran in two places at overlapping times, or that
// did not finish exactly once; empty if all is well.
std::string FindFaults(const std::vector<attempt_run>& runs,
                       std::int64_t task_count);

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_JOURNAL_H_
