// Simulates serving and best-effort tasks under the policy's decisions. Guards
// against serving tasks above their latency target and late best-effort jobs.
// Bounds come from the platform: no task may be above its target for 4 s, and a
// job is on time within twice its work plus 1 s.
#include "waxwingfront/fleet/sharing_policy.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <string_view>

#include "support/sharing_simulation.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kMaxOverTargetMs = 4000;
// Time above the target counts four times: beyond this share the serving jobs
// earn less than half of their maximum.
constexpr double kMaxOverTargetShare = 0.125;

TEST_CASE("best-effort tasks are placed where they do not interfere",
          "[fleet]") {
  // Each best-effort image interferes with one of the three serving images.
  const sharing_result result =
      SimulateSharing({.interference = [](std::string_view serving,
                                          std::string_view best_effort) {
        return serving.back() == best_effort.back() ? 0.06 : 0.003;
      }});
  CHECK(result.longest_over_target_ms < kMaxOverTargetMs);
  CHECK(result.over_target_share < kMaxOverTargetShare);
  // All jobs except those of the first seconds, in which the model is trained,
  // and the last ones.
  CHECK(result.best_effort_on_time >= 40);
}

TEST_CASE("serving tasks are protected where all filling work disturbs",
          "[fleet]") {
  const sharing_result result =
      SimulateSharing({.best_effort_jobs = 4.0,
                       .interference = [](std::string_view, std::string_view) {
                         return 0.06;
                       }});
  CHECK(result.longest_over_target_ms < kMaxOverTargetMs);
  CHECK(result.over_target_share < kMaxOverTargetShare);
  CHECK(result.best_effort_completed > 0);
}

TEST_CASE("best-effort tasks that do not interfere are not slowed down",
          "[fleet]") {
  const sharing_result result = SimulateSharing(
      {.interference = [](std::string_view, std::string_view) { return 0.0; }});
  CHECK(result.over_target_share == 0.0);
  CHECK(result.best_effort_on_time >= 44);
}

TEST_CASE("light best-effort jobs are on time beside slowed-down heavy ones",
          "[fleet]") {
  // Images f0 and f1 interfere with all serving images, f2 hardly with any.
  const sharing_result result = SimulateSharing(
      {.best_effort_jobs = 6.0,
       .interference = [](std::string_view, std::string_view best_effort) {
         return best_effort.back() == '2' ? 0.004 : 0.06;
       }});
  CHECK(result.longest_over_target_ms < kMaxOverTargetMs);
  // All jobs except those of the last seconds and of the first, before the
  // model is trained.
  constexpr int kJobsAtStartAndEnd = 8;
  CHECK(result.on_time.at("f2") >=
        result.submitted.at("f2") - kJobsAtStartAndEnd);
}

TEST_CASE(
    "long-running tasks leave executors free for tasks that interfere with "
    "them",
    "[fleet]") {
  constexpr int kExecutors = 8;
  constexpr std::int64_t kCapacity = 32'000;
  fleet_fixture fixture;
  for (int i = 0; i < kExecutors; ++i) {
    fixture.AddExecutor("e" + std::to_string(i), kCapacity);
  }
  const auto submit = [&fixture](const std::string& id, std::uint32_t tasks,
                                 std::int64_t cpu_millis, std::uint32_t limit) {
    schema::fleet_job job = JobOf(id, tasks, cpu_millis);
    schema::fleet_step& step = *job.mutable_steps(0);
    step.set_long_running(true);
    step.set_image("s");
    step.set_target_ms(18);
    step.set_max_per_executor(limit);
    fixture.Core().Submit(job, At(0));
  };
  for (int i = 0; i < 4; ++i) submit("job" + std::to_string(i), 5, 6000, 0);
  submit("apart", 4, 5000, 1);
  fixture.Step(10);
  std::set<std::string> used;
  for (const fleet::start_order& start : fixture.Step(400).starts) {
    used.insert(start.executor);
  }
  // 140 of 256 cores are declared, which fit on five executors.
  CHECK(used.size() == 5);
}

}  // namespace
}  // namespace waxwingfront::tests
