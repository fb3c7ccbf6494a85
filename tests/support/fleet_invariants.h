// Invariants that must hold for the executors of a simulated fleet.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_FLEET_INVARIANTS_H_
#define WAXWINGFRONT_TESTS_SUPPORT_FLEET_INVARIANTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/fake_executor.h"
#include "waxwingfront/fleet/types.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::tests {

struct fleet_invariants_options {
  int max_attempts = 3;
  // Tasks of the first step, on which the second depends.
  std::uint32_t first_step_tasks = 3;
  // Its failures are counted once per run, on its first member.
  bool second_step_is_gang = false;
  std::int64_t drain_ms = 2000;
  // Time after which an end that an executor has reported counts as known, even
  // if the leader has not read it, provided that only the leader itself drops
  // messages. 0 disables the check.
  std::int64_t end_grace_ms = 0;
};

class fleet_invariants {
 public:
  explicit fleet_invariants(fleet_invariants_options options)
      : options_(options) {}

  const std::vector<std::string>& Violations() const { return violations_; }

  // Checks the start of a task, given the `progress` of its job in the store.
  void OnStart(const fleet::start_order& order,
               const std::optional<schema::fleet_progress>& progress,
               std::int64_t now_ms);
  // Records the ends that an executor has reported.
  void OnEndsReported(const fake_executor& executor,
                      const fleet::hold_report& report, std::int64_t now_ms);
  // Checks an end that an executor is about to forget on a leader's word, given
  // the `progress` of its job in the store.
  void OnEndForgotten(const fake_executor& executor,
                      const fleet::ended_report& end,
                      const std::optional<schema::fleet_progress>& progress);
  // Records that a run failed by itself.
  void OnFailed(const fleet::task_ref& task, std::uint32_t run);
  // Checks that a job was failed only for a task without attempts left.
  void CheckFailed(const std::string& job,
                   const schema::fleet_progress& progress);
  // Records that a leader was notified of a draining executor.
  void OnDrainReported(const std::string& executor, std::int64_t now_ms);
  // Discards the earlier reports of an executor that restarts.
  void OnRestart(const std::string& executor);
  // Checks that no task runs on two executors.
  void Check(const std::vector<fake_executor>& executors);

 private:
  void CheckEnds(const fleet::start_order& order, std::int64_t now_ms);
  // Returns the task on which failures of `task` are counted.
  fleet::task_ref CountedTask(fleet::task_ref task) const;

  struct reported_end {
    std::string executor;
    std::int64_t at_ms = 0;
  };

  fleet_invariants_options options_;
  std::map<std::string, std::int64_t> drains_;
  // Runs that were reported as done.
  std::map<fleet::task_ref, reported_end> done_;
  // Failed runs that executors have forgotten.
  std::map<fleet::task_ref, std::set<std::uint32_t>> forgotten_failures_;
  // Failed runs by the task on which they count.
  std::map<fleet::task_ref, std::set<std::uint32_t>> failed_runs_;
  std::vector<std::string> violations_;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_FLEET_INVARIANTS_H_
