// Prints what jobs cost in a leader's memory, in bytes of the heap: a job
// whose occurrences are not due, a near occurrence, a task of it, an occurrence
// that is not near, and a job that has ended. `fleet/job_cost` charges for
// them.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "waxwingfront/fleet/fleet_core.h"
#include "waxwingfront/fleet/job_cost.h"

namespace waxwingfront::fleet {
namespace {

constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::uint32_t kSteps = 4;
constexpr std::uint32_t kManyOccurrences = 250;

moment At(std::int64_t ms) {
  return {.now = core::monotonic_time(core::milliseconds(ms)), .unix_ms = ms};
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

struct load {
  std::uint32_t width = 9;
  std::uint32_t occurrences = 1;
  std::int64_t first_run_ms = kHourMs;
  bool ended = false;
};

schema::fleet_job JobOf(std::int64_t number, const load& shape) {
  schema::fleet_job job;
  job.set_id("5c0e7a21d94b36f8" + std::to_string(number));
  job.set_queue("shift-batch");
  job.set_service("fleece-dispatch");
  job.set_payload(std::string(1200, 'x'));
  for (std::uint32_t s = 0; s < kSteps; ++s) {
    schema::fleet_step& step = *job.add_steps();
    step.set_task_count(shape.width);
    step.set_cpu_millis(6400);
    step.set_memory_mb(13'000);
    step.set_estimated_ms(640);
    step.set_image("image-of-a-task");
    if (s > 0) step.add_after(s - 1);
  }
  job.set_repetitions(shape.occurrences);
  job.set_first_run_ms(shape.first_run_ms);
  job.set_interval_ms(kHourMs);
  return job;
}

// Returns the bytes of the heap for each of `jobs` jobs that a leader loads.
double BytesPerJob(std::int64_t jobs, const load& shape) {
  const std::size_t before = HeapBytes();
  fleet_core core({});
  for (std::int64_t i = 0; i < jobs; ++i) {
    schema::fleet_progress progress;
    if (shape.ended) progress.set_state(schema::FLEET_COMPLETED);
    core.Restore(JobOf(i, shape), 1, progress, 1, At(0));
  }
  return static_cast<double>(HeapBytes() - before) / static_cast<double>(jobs);
}

void JobMemory(benchmark::State& run) {
  const std::int64_t jobs = run.range(0);
  for (auto unused : run) {
    const double idle = BytesPerJob(jobs, {});
    const double narrow = BytesPerJob(jobs, {.width = 1, .first_run_ms = 0});
    const double wide = BytesPerJob(jobs, {.first_run_ms = 0});
    const double many = BytesPerJob(jobs, {.occurrences = kManyOccurrences});
    const load shape;
    run.counters["job"] = idle;
    run.counters["near_occurrence"] = wide - idle;
    run.counters["task"] = (wide - narrow) / (kSteps * (shape.width - 1));
    run.counters["later_occurrence"] = (many - idle) / (kManyOccurrences - 1);
    run.counters["ended_job"] = BytesPerJob(jobs, {.ended = true});
    const schema::fleet_job job = JobOf(0, shape);
    run.counters["charged_job"] = static_cast<double>(RecordCost(job));
    run.counters["charged_near"] =
        static_cast<double>(OccurrenceCost(job, TasksOf(job)));
  }
}
BENCHMARK(JobMemory)
    ->ArgName("jobs")
    ->RangeMultiplier(10)
    ->Range(10, 10'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace waxwingfront::fleet

BENCHMARK_MAIN();
