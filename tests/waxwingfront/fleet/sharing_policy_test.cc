// Loads of serving and filling tasks, played against the decisions, and what
// callers get. Bounds come from the platform: no task may be harmed for 4 s,
// and a job is in time within twice its work and 1 s.
#include "waxwingfront/fleet/sharing_policy.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <string_view>

#include "support/sharing_simulation.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kHarmLimitMs = 4000;
// Harm counts four times: beyond this share the serving jobs earn less than
// half of what they could.
constexpr double kTolerableHarm = 0.125;

TEST_CASE("filling work goes where it does not disturb", "[fleet]") {
  // Each filling image presses one of the three serving images.
  const sharing_result outcome = SimulateSharing(
      {.pressure = [](std::string_view serving, std::string_view filling) {
        return serving.back() == filling.back() ? 0.06 : 0.003;
      }});
  CHECK(outcome.longest_harm_ms < kHarmLimitMs);
  CHECK(outcome.harmed_share < kTolerableHarm);
  // All but what the first seconds of learning and the last jobs take.
  CHECK(outcome.filling_in_time >= 40);
}

TEST_CASE("serving tasks are protected where all filling work disturbs",
          "[fleet]") {
  const sharing_result outcome = SimulateSharing(
      {.filling_jobs = 4.0,
       .pressure = [](std::string_view, std::string_view) { return 0.06; }});
  CHECK(outcome.longest_harm_ms < kHarmLimitMs);
  CHECK(outcome.harmed_share < kTolerableHarm);
  CHECK(outcome.filling_done > 0);
}

TEST_CASE("filling work that disturbs nobody is not held back", "[fleet]") {
  const sharing_result outcome = SimulateSharing(
      {.pressure = [](std::string_view, std::string_view) { return 0.0; }});
  CHECK(outcome.harmed_share == 0.0);
  CHECK(outcome.filling_in_time >= 44);
}

TEST_CASE("light filling work is in time beside heavy work that is held back",
          "[fleet]") {
  // Images f0 and f1 press all serving images, f2 presses none to speak of.
  const sharing_result outcome = SimulateSharing(
      {.filling_jobs = 6.0,
       .pressure = [](std::string_view, std::string_view filling) {
         return filling.back() == '2' ? 0.004 : 0.06;
       }});
  CHECK(outcome.longest_harm_ms < kHarmLimitMs);
  // All but the jobs of the last seconds and of the first, when nothing is
  // known yet.
  constexpr int kJobsAtTheEdges = 8;
  CHECK(outcome.in_time.at("f2") >=
        outcome.submitted.at("f2") - kJobsAtTheEdges);
}

TEST_CASE("lasting tasks leave executors free for work that disturbs them",
          "[fleet]") {
  constexpr int kExecutors = 8;
  constexpr std::int64_t kCapacity = 32'000;
  fleet_fixture scene;
  for (int i = 0; i < kExecutors; ++i) {
    scene.AddExecutor("e" + std::to_string(i), kCapacity);
  }
  const auto submit = [&scene](const std::string& id, std::uint32_t tasks,
                               std::int64_t cpu_millis, std::uint32_t limit) {
    schema::fleet_job job = JobOf(id, tasks, cpu_millis);
    schema::fleet_step& step = *job.mutable_steps(0);
    step.set_long_running(true);
    step.set_image("s");
    step.set_target_ms(18);
    step.set_max_per_executor(limit);
    scene.Core().Submit(job, At(0));
  };
  for (int i = 0; i < 4; ++i) submit("job" + std::to_string(i), 5, 6000, 0);
  submit("apart", 4, 5000, 1);
  scene.Step(10);
  std::set<std::string> used;
  for (const fleet::start_order& start : scene.Step(400).starts) {
    used.insert(start.executor);
  }
  // 140 of 256 cores are declared: five executors hold them.
  CHECK(used.size() == 5);
}

}  // namespace
}  // namespace waxwingfront::tests
