// Measures one pass over all workers of a shard when no sync is due.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <utility>

#include "waxwingfront/shard/shard_core.h"

namespace waxwingfront::shard {
namespace {

constexpr core::monotonic_time kContactTime{std::chrono::hours(1)};
constexpr std::int64_t kTasksPerJob = 10;

std::string WorkerName(std::int64_t index) {
  return "worker-" + std::to_string(index);
}

// Returns an owner that has contacted `workers` workers, which run `tasks`
// tasks.
std::unique_ptr<shard_core> MakeOwner(std::int64_t workers,
                                      std::int64_t tasks) {
  recovered_shard recovered;
  for (std::int64_t task = 0; task < tasks; ++task) {
    const std::string job = "job-" + std::to_string(task / kTasksPerJob);
    schema::decision decision;
    if (task % kTasksPerJob == 0) {
      auto& spec = *decision.mutable_accepted()->mutable_spec();
      spec.set_id(job);
      spec.set_task_count(kTasksPerJob);
      static_cast<void>(recovered.state.Apply(decision));
    }
    auto& bound = *decision.mutable_bound();
    bound.mutable_id()->set_job(job);
    bound.mutable_id()->set_task(task % kTasksPerJob);
    bound.mutable_id()->set_attempt(1);
    bound.set_worker(WorkerName(task % workers));
    static_cast<void>(recovered.state.Apply(decision));
  }
  auto view = std::make_shared<hosts::host_view>();
  for (std::int64_t index = 0; index < workers; ++index) {
    view->workers[WorkerName(index)] = {.id = WorkerName(index),
                                        .shard = "north/0"};
  }
  shard_core_options options{.shard = "north/0", .owner = "entry-0"};
  options.nonce = [] { return 1; };
  auto owner = std::make_unique<shard_core>(
      std::move(options), std::move(recovered), kContactTime, kContactTime);
  owner->OnHosts(view);
  static_cast<void>(owner->NextAppend(kContactTime));
  owner->OnAppendApplied();
  for (const std::string& worker : owner->Workers()) {
    static_cast<void>(owner->NextSync(worker, kContactTime));
    schema::sync_response response;
    response.set_incarnation("1");
    response.set_ticket("ticket");
    response.set_ticket_ms(6000);
    response.set_task_lease_ms(20000);
    for (const auto& [id, job] : owner->State().Jobs()) {
      for (const auto& [task, bound] : job.active) {
        if (bound.worker != worker) continue;
        auto& report = *response.add_attempts();
        report.mutable_id()->set_job(id);
        report.mutable_id()->set_task(task);
        report.mutable_id()->set_attempt(bound.attempt);
        report.set_state(schema::ATTEMPT_STATE_RUNNING);
      }
    }
    owner->OnSyncReply(worker, response, kContactTime);
  }
  return owner;
}

void CheckIdleWorkers(benchmark::State& state) {
  const auto owner = MakeOwner(state.range(0), state.range(1));
  constexpr core::milliseconds kElapsed{500};
  for (auto unused : state) {
    for (const std::string& worker : owner->Workers())
      benchmark::DoNotOptimize(
          owner->NextSync(worker, kContactTime + kElapsed));
  }
}
BENCHMARK(CheckIdleWorkers)
    ->ArgNames({"workers", "tasks"})
    ->Args({42, 720})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace waxwingfront::shard

BENCHMARK_MAIN();
