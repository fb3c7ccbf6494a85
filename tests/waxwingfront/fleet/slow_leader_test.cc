#include "support/slow_leader.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kSecond = 1000;
// Time within which an interrupted task with room is placed.
constexpr std::int64_t kMaxPlacementMs = 2 * kSecond;
// The platform counts a long-running task as lost that does not run 6 s after
// its last run.
constexpr std::int64_t kMaxStandstillMs = 6 * kSecond;
// The platform allows that a job has nothing running for 3 s beside idle
// executors.
constexpr std::int64_t kMaxJobStandstillMs = 3 * kSecond;

struct fleet_scene {
  int executors = 300;
  int standing_jobs = 150;
  // One executor of this many leaves.
  int executors_per_leaving = 7;
  std::int64_t bulk_period_ms = 14;
  work_costs costs = kSmallMachineCosts;
};

// Long-running jobs on all executors, and short jobs that arrive faster than
// the leader starts them. Some executors leave within 2 s, and the others have
// room for all tasks.
class overloaded_fleet {
 public:
  explicit overloaded_fleet(const fleet_scene& scene = {})
      : leader_({.executors = scene.executors,
                 .executor_millis = kExecutorMillis,
                 .queues = {{.name = "urgent", .priority = 0},
                            {.name = "standing", .priority = 1},
                            {.name = "bulk", .priority = 2}}}) {
    Observe();
    for (int i = 0; i < scene.standing_jobs; ++i) {
      schema::fleet_job job =
          JobOf("standing" + std::to_string(i), kStandingTasks, kStandingMillis,
                "standing");
      job.mutable_steps(0)->set_long_running(true);
      job.mutable_steps(0)->set_max_per_executor(1);
      job.mutable_steps(0)->set_image("image" + std::to_string(i % kImages));
      leader_.Submit(job, i);
    }
    leader_.RunUntil(kLoadMs);
    REQUIRE(begun_ ==
            static_cast<std::size_t>(scene.standing_jobs) * kStandingTasks);
    leader_.SetCosts(scene.costs);
    SubmitShort("bulk", kBulkTasks, scene.bulk_period_ms);
    SubmitShort("urgent", 1, kUrgentPeriodMs);
    int leaving = 0;
    for (int i = 0; i < scene.executors; i += scene.executors_per_leaving) {
      leader_.Leave(i, kLeaveMs + leaving++ * kLeavePeriodMs);
    }
  }

  void Play() { leader_.RunUntil(kEndMs); }

  slow_leader& Leader() { return leader_; }
  std::size_t Interrupted() const { return interrupted_; }
  std::size_t StillWaiting() const { return waiting_since_.size(); }
  // Longest times until an interrupted task was placed and until it ran again.
  std::int64_t LongestPlacementMs() const {
    std::int64_t longest = longest_placement_ms_;
    for (const auto& [task, since] : waiting_since_) {
      longest = std::max(longest, leader_.NowMs() - since);
    }
    return longest;
  }
  std::int64_t LongestStandstillMs() const {
    std::int64_t longest = longest_standstill_ms_;
    for (const auto& [task, since] : standing_since_) {
      longest = std::max(longest, leader_.NowMs() - since);
    }
    return longest;
  }
  // Longest time until an urgent job began or was rejected.
  std::int64_t LongestUrgentWaitMs() const {
    std::int64_t longest = longest_urgent_wait_ms_;
    for (const auto& [job, since] : urgent_sent_) {
      longest = std::max(longest, leader_.NowMs() - since);
    }
    return longest;
  }

 private:
  static constexpr std::int64_t kExecutorMillis = 32'000;
  static constexpr std::uint32_t kStandingTasks = 14;
  static constexpr std::int64_t kStandingMillis = 3000;
  static constexpr int kImages = 10;
  static constexpr std::uint32_t kBulkTasks = 8;
  static constexpr std::int64_t kShortMillis = 2000;
  static constexpr std::int64_t kUrgentPeriodMs = 500;
  static constexpr std::int64_t kLoadMs = 5 * kSecond;
  static constexpr std::int64_t kLeaveMs = 25 * kSecond;
  static constexpr std::int64_t kLeavePeriodMs = 35;
  static constexpr std::int64_t kEndMs = 40 * kSecond;

  void SubmitShort(const std::string& queue, std::uint32_t tasks,
                   std::int64_t period_ms) {
    for (std::int64_t ms = kLoadMs; ms < kEndMs; ms += period_ms) {
      const std::string id = queue + std::to_string(ms);
      if (queue == "urgent") urgent_sent_[id] = ms;
      leader_.Submit(JobOf(id, tasks, kShortMillis, queue), ms);
    }
  }

  void Observe() {
    leader_.on_failed = [this](const fleet::task_ref& task, std::int64_t now) {
      ++interrupted_;
      waiting_since_[task] = now;
      standing_since_[task] = now;
    };
    leader_.on_placed = [this](const fleet::task_state& task,
                               std::int64_t now) {
      Finish(waiting_since_, task.Ref(), now, longest_placement_ms_);
    };
    leader_.on_begun = [this](const fleet::task_ref& task, std::int64_t now) {
      ++begun_;
      Finish(standing_since_, task, now, longest_standstill_ms_);
      Finish(urgent_sent_, task.job, now, longest_urgent_wait_ms_);
    };
    leader_.on_refused = [this](const std::string& job, std::int64_t now) {
      Finish(urgent_sent_, job, now, longest_urgent_wait_ms_);
    };
  }

  template <typename Key>
  static void Finish(std::map<Key, std::int64_t>& since, const Key& key,
                     std::int64_t now, std::int64_t& longest) {
    const auto found = since.find(key);
    if (found == since.end()) return;
    longest = std::max(longest, now - found->second);
    since.erase(found);
  }

  slow_leader leader_;
  std::size_t begun_ = 0;
  std::size_t interrupted_ = 0;
  std::map<fleet::task_ref, std::int64_t> waiting_since_;
  std::map<fleet::task_ref, std::int64_t> standing_since_;
  // Urgent jobs that have neither begun nor been rejected.
  std::map<std::string, std::int64_t> urgent_sent_;
  std::int64_t longest_placement_ms_ = 0;
  std::int64_t longest_standstill_ms_ = 0;
  std::int64_t longest_urgent_wait_ms_ = 0;
};

// Guards against rounds that rank all live jobs before they place anything.
TEST_CASE("live jobs do not starve interrupted tasks on a slow leader",
          "[fleet][overload]") {
  overloaded_fleet fleet;
  fleet.Play();
  CAPTURE(fleet.Interrupted());
  CHECK(fleet.StillWaiting() == 0);
  CHECK(fleet.LongestPlacementMs() <= kMaxPlacementMs);
  CHECK(fleet.LongestStandstillMs() <= kMaxStandstillMs);
  CHECK(fleet.LongestUrgentWaitMs() <= kMaxJobStandstillMs);
}

}  // namespace
}  // namespace waxwingfront::tests
