// Limits retries of requests that may have run to a share of first attempts, so
// that retries do not multiply the load of an outage.
#ifndef WAXWINGFRONT_FRONT_RETRY_BUDGET_H_
#define WAXWINGFRONT_FRONT_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace waxwingfront::front {

struct retry_budget_options {
  // Retries allowed for each hundred first attempts.
  int percent = 10;
  // Retries that an idle budget allows at once.
  int burst = 10;
};

// Thread-safe.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options);

  // Counts a first attempt.
  void OnFirstAttempt();
  // Takes one retry out of the budget. Returns false if the budget is
  // exhausted.
  bool TryRetry();

 private:
  // A retry costs `kRetryCost` credits; a first attempt earns `percent`.
  static constexpr std::int64_t kRetryCost = 100;
  retry_budget_options options_;
  std::atomic<std::int64_t> credits_;
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_RETRY_BUDGET_H_
