#include "waxwingfront/fleet/work_monitor.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

constexpr std::int64_t kEstimatedMs = 1000;

struct monitored_work {
  monitored_work() {
    log.on_event = [this](std::string_view event) {
      if (event == "work") ++lines;
    };
    fixture.AddExecutor("e", 100'000);
    fixture.Core().Runs().on_run_ended =
        [this](const fleet::task_state& task, fleet::run_outcome,
               fleet::moment at) { monitor.RunEnded(task, at.now); };
    fixture.Core().Runs().on_job_final = [this](const fleet::job_state& job) {
      monitor.JobFinal(job, now);
    };
  }

  // Starts a job of one task, which ends after `ms`.
  void Run(const std::string& id, std::int64_t ms,
           fleet::run_end how = fleet::run_end::kDone) {
    fixture.Core().Submit(JobOf(id, 1, 1000), At(0));
    fixture.StepAccepted(0);
    now = At(ms).now;
    fixture.Report(
        "e", ms, {},
        {{.number = ++end, .task = {.job = id}, .run = 1, .how = how}});
  }

  std::uint64_t ExecutorMs(const std::string& outcome) {
    return metrics
        .Counter("waxwingfront_short_executor_milliseconds_total",
                 {{.name = "queue", .value = "q"},
                  {.name = "outcome", .value = outcome}})
        .Value();
  }

  fleet_fixture fixture;
  metrics::registry metrics;
  logging::event_log log{{.descriptor = -1}};
  int lines = 0;
  fleet::work_monitor monitor{metrics, log};
  core::monotonic_time now = At(0).now;
  std::uint64_t end = 0;
};

// Guards against work for jobs that are late which no figure shows.
TEST_CASE("executor time is counted by the outcome of its job", "[fleet]") {
  // On time within 3 s, and useful within 9 s.
  monitored_work work;
  work.Run("on_time", 2'000);
  CHECK(work.ExecutorMs("on_time") == 2'000);
  monitored_work late;
  late.Run("late", 5'000);
  CHECK(late.ExecutorMs("late") == 5'000);
  monitored_work useless;
  useless.Run("useless", 10'000);
  CHECK(useless.ExecutorMs("useless") == 10'000);
  CHECK(useless.ExecutorMs("on_time") == 0);
}

TEST_CASE("the work of a cancelled job is counted when its runs end",
          "[fleet]") {
  monitored_work work;
  work.fixture.Core().Submit(JobOf("cancelled", 1, 1000), At(0));
  work.fixture.StepAccepted(0);
  work.now = At(400).now;
  work.fixture.Core().Cancel("cancelled", At(400));
  CHECK(work.ExecutorMs("cancelled") == 0);
  work.fixture.Report("e", 700, {},
                      {{.number = 1,
                        .task = {.job = "cancelled"},
                        .run = 1,
                        .how = fleet::run_end::kStopped}});
  CHECK(work.ExecutorMs("cancelled") == 700);
}

TEST_CASE("the estimated and the real time of completed jobs are exported",
          "[fleet]") {
  monitored_work work;
  work.Run("job", 2'000);
  const std::vector<metrics::label> queue{{.name = "queue", .value = "q"}};
  const auto estimated =
      work.metrics.Histogram("waxwingfront_short_job_estimated_seconds", queue)
          .Totals();
  const auto took =
      work.metrics.Histogram("waxwingfront_short_job_seconds", queue).Totals();
  CHECK(estimated.count == 1);
  CHECK(estimated.maximum == Approx(kEstimatedMs / 1000.0));
  CHECK(took.maximum == Approx(2.0));
}

TEST_CASE("the work in progress is exported by queue", "[fleet]") {
  monitored_work work;
  work.fixture.Core().Submit(JobOf("running", 2, 1000), At(0));
  work.fixture.StepAccepted(0);
  work.monitor.Report(work.fixture.Core().ShortWork(At(10).now));
  const std::vector<metrics::label> queue{{.name = "queue", .value = "q"}};
  CHECK(work.metrics.Gauge("waxwingfront_short_jobs", queue).Value() == 1);
  CHECK(work.metrics.Gauge("waxwingfront_short_tasks_running", queue).Value() ==
        2);
  CHECK(work.metrics.Gauge("waxwingfront_short_pace_percent", queue).Value() ==
        100);
  CHECK(work.lines == 1);
  // A queue without work shows zero, and an idle leader writes no line.
  work.monitor.Report({});
  CHECK(work.metrics.Gauge("waxwingfront_short_jobs", queue).Value() == 0);
  CHECK(work.lines == 1);
}

// Guards against unbounded metrics if queues come and go.
TEST_CASE("the number of queues with metrics of their own is bounded",
          "[fleet]") {
  monitored_work work;
  fleet::work_sample sample;
  for (int i = 0; i < 100; ++i) {
    sample[{.queue = "q" + std::to_string(i), .image = ""}] = {.jobs = 1};
  }
  work.monitor.Report(sample);
  const std::vector<metrics::label> other{{.name = "queue", .value = "other"}};
  CHECK(work.metrics.Gauge("waxwingfront_short_jobs", other).Value() == 36);
}

}  // namespace
}  // namespace waxwingfront::tests
