#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <random>

#include "overload_model/callers.h"
#include "overload_model/executor_model.h"
#include "overload_model/simulation.h"
#include "support/fleet_fixture.h"

namespace waxwingfront::overload_model {
namespace {

class_settings BestEffortClass() {
  return {.name = "large",
          .kind = job_kind::kBestEffort,
          .jobs_per_second = 2.0,
          .attempts = 3,
          .stretch = 2.0,
          .target_duration_ms = 1000,
          .steps = {.mean = 2.0, .max = 2.0},
          .width = {.mean = 4.0, .max = 4.0},
          .cpu_millis = {.mean = 2000.0, .max = 2000.0},
          .memory_mib = {.mean = 1000.0, .max = 1000.0},
          .work_ms = {.mean = 800.0, .spread = 0.3, .max = 2000.0},
          .estimate_error = 0.5};
}

// Callers whose jobs find no room beside a short job, until `end_ms`.
class_result RefusedUntil(std::int64_t end_ms) {
  const model_settings settings{
      .classes = {{.name = "serving",
                   .kind = job_kind::kServing,
                   .jobs_per_second = 100.0,
                   .returns = 1,
                   .width = {.mean = 10.0, .max = 10.0},
                   .cpu_millis = {.mean = 32'000.0, .max = 32'000.0}}},
      .warm_up_ms = 0};
  tests::fleet_fixture fixture({{.name = "serving"}, {.name = "short"}});
  fixture.AddExecutor("e", settings.executors.cpu_millis);
  fixture.Core().Submit(tests::JobOf("short-1", 1, 1000, "short"),
                        tests::At(0));
  fixture.Core().Tick(tests::At(0));
  std::mt19937_64 random(1);
  callers asking(settings, {}, fixture.Core(), random);
  asking.Arrive(0, 1000);
  for (std::int64_t now = 0; now < end_ms; now += 10) {
    asking.Act(tests::At(now), now);
  }
  return asking.Finish().front();
}

}  // namespace

TEST_CASE("all jobs of the overload model end on time without overload",
          "[overload]") {
  const model_settings settings{.executors = {.count = 10},
                                .classes = {BestEffortClass()}};
  const load_result result =
      Simulate(settings, {.load = 1.0, .seed = 1, .measured_ms = 10'000});
  const class_result& jobs = result.classes.front();
  REQUIRE(jobs.asked > 0);
  CHECK(jobs.Ended(job_outcome::kOnTime) == jobs.asked);
  CHECK(jobs.refusals == 0);
}

TEST_CASE("the overload model repeats with its seed", "[overload]") {
  const model_settings settings{.executors = {.count = 4},
                                .classes = {BestEffortClass()}};
  const run_options options{.load = 3.0, .seed = 7, .measured_ms = 5'000};
  const load_result first = Simulate(settings, options);
  const load_result second = Simulate(settings, options);
  CHECK(first.classes.front().ended == second.classes.front().ended);
  CHECK(first.sharing.worked_ms == second.sharing.worked_ms);
}

TEST_CASE("refused callers of the overload model return after Retry-After",
          "[overload]") {
  const int asked = RefusedUntil(5'000).refusals;
  REQUIRE(asked > 0);
  const class_result returned = RefusedUntil(6'020);
  CHECK(returned.refusals == 2 * asked);
  CHECK(returned.asked == asked);
  CHECK(returned.Ended(job_outcome::kRefused) == asked);
}

TEST_CASE("the overload model judges jobs by their first attempt",
          "[overload]") {
  CHECK(JudgeEnd(1000.0, 1000.0) == job_outcome::kOnTime);
  CHECK(JudgeEnd(1001.0, 1000.0) == job_outcome::kLate);
  CHECK(JudgeEnd(3000.0, 1000.0) == job_outcome::kLate);
  CHECK(JudgeEnd(3001.0, 1000.0) == job_outcome::kUseless);
}

TEST_CASE("paces slow down modelled best-effort work", "[overload]") {
  class_settings profile = BestEffortClass();
  profile.work_ms = {.mean = 1000.0, .max = 1000.0};
  const model_settings settings{.classes = {profile}};
  std::mt19937_64 random(1);
  const pressure_table pressures(random, settings);
  sharing_sums sums;
  executor_model executor("e", settings, pressures, sums);
  const auto job =
      std::make_shared<modelled_job>(DrawModelledJob(random, settings, 0, 1));
  const fleet::task_ref task{.job = job->spec.id()};
  executor.Start({.executor = "e", .task = task, .run = 1}, job, {});
  executor.SetPace({.executor = "e", .task = task, .run = 1, .percent = 50});
  executor.Advance(0, 1990.0);
  CHECK_FALSE(executor.HasNewEnds());
  executor.Advance(0, 10.0);
  CHECK(executor.HasNewEnds());
  CHECK(executor.Report(2000).ended.front().how == fleet::run_end::kDone);
  CHECK(job->core_ms == Approx(2000.0));
}

}  // namespace waxwingfront::overload_model
