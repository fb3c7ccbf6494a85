// Measures a planning round that is out of time after its first visit, as on an
// overloaded machine: what remains is the cost that each round has in any case.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

#include "waxwingfront/fleet/fleet_core.h"

namespace waxwingfront::fleet {
namespace {

constexpr int kExecutors = 350;
constexpr int kQueues = 12;
constexpr std::int64_t kProcessorMilli = 32'000;
constexpr std::int64_t kMemoryMib = 128'000;
constexpr std::int64_t kRoundMs = 100;
constexpr core::milliseconds kStart{1'000'000};

moment At(std::int64_t ms) {
  return {.now = core::monotonic_time(kStart + core::milliseconds(ms)),
          .unix_ms = ms};
}

schema::fleet_job JobOf(int number, std::uint32_t tasks, std::int64_t cpu) {
  schema::fleet_job job;
  job.set_id("job-" + std::to_string(number));
  job.set_queue("queue-" + std::to_string(number % kQueues));
  job.set_service("s");
  schema::fleet_step& step = *job.add_steps();
  step.set_task_count(tasks);
  step.set_cpu_millis(cpu);
  step.set_memory_mb(1000);
  step.set_estimated_ms(1000);
  step.set_image("image-" + std::to_string(number % kQueues));
  return job;
}

// A full fleet and `jobs` jobs that wait for room.
struct full_fleet {
  full_fleet(int jobs, std::uint32_t tasks, int interrupted = 0) : core({}) {
    manifest settings{.version = 1};
    for (int i = 0; i < kQueues; ++i) {
      settings.queues.push_back({.name = "queue-" + std::to_string(i),
                                 .service = "s",
                                 .max_attempts = 3,
                                 .stretch = 2.0,
                                 .target_duration = core::milliseconds(1000)});
    }
    core.SetManifest(settings);
    for (int i = 1; i <= interrupted; ++i) RestoreInterrupted(jobs + i);
    core.FinishRestore(At(0));
    for (int i = 0; i < kExecutors; ++i) {
      const std::string id = "e" + std::to_string(i);
      core.SetExecutor({.id = id,
                        .address = id,
                        .service = "s",
                        .capacity = {.processor_milli = kProcessorMilli,
                                     .memory_mib = kMemoryMib}});
      core.OnHold(id, {.born_ms = 1, .clock_ms = 1}, At(0).now, At(0));
    }
    core.NextLeaseRecord(At(0).now);
    core.Leases().Stored();
    core.Submit(JobOf(0, kExecutors, kProcessorMilli), At(0));
    core.Plan(At(10));
    for (int i = 1; i <= jobs; ++i) core.Submit(JobOf(i, tasks, 4000), At(10));
  }

  // Adds a long-running job whose task has run before.
  void RestoreInterrupted(int number) {
    schema::fleet_job job = JobOf(number, 1, 8000);
    job.mutable_steps(0)->set_long_running(true);
    schema::fleet_progress progress;
    progress.add_tasks()->set_run(1);
    core.Restore(job, 1, progress, 1, At(0));
  }

  fleet_core core;
};

void RoundOutOfTime(benchmark::State& run) {
  full_fleet fleet(static_cast<int>(run.range(0)),
                   static_cast<std::uint32_t>(run.range(1)));
  std::int64_t at_ms = 20;
  for (auto unused : run) {
    at_ms += kRoundMs;
    benchmark::DoNotOptimize(fleet.core.Plan(At(at_ms), [] { return true; }));
  }
}
BENCHMARK(RoundOutOfTime)
    ->ArgNames({"jobs", "tasks"})
    ->ArgsProduct({{1, 150, 480, 950}, {30}})
    ->Unit(benchmark::kMicrosecond);

// The same with long-running tasks that have failed and wait for room, for
// which capacity is reserved.
void RoundWithInterruptedTasks(benchmark::State& run) {
  full_fleet fleet(0, 1, static_cast<int>(run.range(0)));
  std::int64_t at_ms = 1000;
  for (auto unused : run) {
    at_ms += kRoundMs;
    benchmark::DoNotOptimize(fleet.core.Plan(At(at_ms), [] { return true; }));
  }
}
BENCHMARK(RoundWithInterruptedTasks)
    ->ArgName("tasks")
    ->Arg(0)
    ->Arg(35)
    ->Unit(benchmark::kMicrosecond);

void WholeRound(benchmark::State& run) {
  full_fleet fleet(static_cast<int>(run.range(0)),
                   static_cast<std::uint32_t>(run.range(1)));
  std::int64_t at_ms = 20;
  for (auto unused : run) {
    at_ms += kRoundMs;
    benchmark::DoNotOptimize(fleet.core.Plan(At(at_ms)));
  }
}
BENCHMARK(WholeRound)
    ->ArgNames({"jobs", "tasks"})
    ->ArgsProduct({{1, 150, 480, 950}, {30}})
    ->Unit(benchmark::kMicrosecond);

// Work of the leader's tick, which is done ten times a second.
void Tick(benchmark::State& run) {
  full_fleet fleet(static_cast<int>(run.range(0)),
                   static_cast<std::uint32_t>(run.range(1)));
  fleet.core.Plan(At(20));
  std::int64_t at_ms = 20;
  for (auto unused : run) {
    at_ms += kRoundMs;
    fleet.core.Tick(At(at_ms));
  }
}
BENCHMARK(Tick)
    ->ArgNames({"jobs", "tasks"})
    ->ArgsProduct({{1, 150, 480, 950}, {30}})
    ->Unit(benchmark::kMicrosecond);

// A sample of the short work in progress, at most five times a second.
void SampleOfShortWork(benchmark::State& run) {
  full_fleet fleet(static_cast<int>(run.range(0)),
                   static_cast<std::uint32_t>(run.range(1)));
  fleet.core.Plan(At(20));
  std::int64_t at_ms = 20;
  for (auto unused : run) {
    at_ms += kRoundMs;
    benchmark::DoNotOptimize(fleet.core.ShortWork(At(at_ms).now));
  }
}
BENCHMARK(SampleOfShortWork)
    ->ArgNames({"jobs", "tasks"})
    ->ArgsProduct({{150, 950, 3000}, {30}})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace waxwingfront::fleet

BENCHMARK_MAIN();
