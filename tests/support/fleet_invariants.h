// What executors of a simulated fleet may see, and what they may not.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_FLEET_INVARIANTS_H_
#define WAXWINGFRONT_TESTS_SUPPORT_FLEET_INVARIANTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/fake_executor.h"
#include "waxwingfront/fleet/types.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::tests {

struct fleet_invariants_options {
  int max_attempts = 3;
  // Tasks of the first step, which the second comes after.
  std::uint32_t first_step_tasks = 3;
  std::int64_t drain_ms = 2000;
  // An end counts as known this long after an executor has listed it, read or
  // not: where no message is lost but by the leader itself. 0: never.
  std::int64_t noted_ms = 0;
};

class fleet_invariants {
 public:
  explicit fleet_invariants(fleet_invariants_options options)
      : options_(options) {}

  const std::vector<std::string>& Violations() const { return violations_; }

  // An executor began a task; the store has `progress` of its job.
  void OnStart(const fleet::start_order& order,
               const std::optional<schema::fleet_progress>& progress,
               std::int64_t now_ms);
  // An executor answered with a list of ends.
  void OnListed(const fake_executor& executor, const fleet::hold_report& report,
                std::int64_t now_ms);
  // A leader was told that the executor drains.
  void OnDrainTold(const std::string& executor, std::int64_t now_ms);
  // The executor starts again: what it said before is void.
  void OnRestart(const std::string& executor);
  // No task runs on two executors.
  void Check(const std::vector<fake_executor>& executors);

 private:
  void CheckEnds(const fleet::start_order& order, std::int64_t now_ms);

  struct listed_end {
    std::string executor;
    std::int64_t at_ms = 0;
  };

  fleet_invariants_options options_;
  std::map<std::string, std::int64_t> drains_;
  // Runs that were listed as done.
  std::map<fleet::task_ref, listed_end> done_;
  std::vector<std::string> violations_;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_FLEET_INVARIANTS_H_
