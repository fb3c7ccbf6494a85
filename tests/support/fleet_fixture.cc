#include "support/fleet_fixture.h"

#include <map>
#include <utility>

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kMemoryMib = 1'000'000;
constexpr std::int64_t kUnixStartMs = 1'700'000'000'000;
constexpr std::int64_t kBornMs = 1;
constexpr std::size_t kMaxRecords = 30;
// The simulated clock does not start at the epoch of the monotonic clock.
constexpr core::milliseconds kStart{1'000'000};

}  // namespace

fleet::moment At(std::int64_t ms) {
  return {.now = core::monotonic_time(kStart + core::milliseconds(ms)),
          .unix_ms = kUnixStartMs + ms};
}

fleet::manifest ManifestOf(const std::vector<queue_options>& queues) {
  fleet::manifest result;
  result.version = 1;
  for (const queue_options& queue : queues) {
    result.queues.push_back(
        {.name = queue.name,
         .service = "s",
         .priority = queue.priority,
         .max_attempts = queue.max_attempts,
         .stretch = queue.stretch,
         .target_duration = core::milliseconds(queue.target_duration_ms),
         .advised = queue.advised,
         .advice = queue.advice});
  }
  return result;
}

schema::fleet_job JobOf(std::string_view id, std::uint32_t tasks,
                        std::int64_t cpu_millis, std::string_view queue) {
  schema::fleet_job job;
  job.set_id(std::string(id));
  job.set_queue(std::string(queue));
  job.set_service("s");
  schema::fleet_step& step = *job.add_steps();
  step.set_task_count(tasks);
  step.set_cpu_millis(cpu_millis);
  constexpr std::int64_t kEstimatedMs = 1000;
  step.set_estimated_ms(kEstimatedMs);
  return job;
}

void RecordLeases(fleet::fleet_core& core, core::monotonic_time now) {
  core.NextLeaseRecord(now);
  core.Leases().Stored();
}

fleet_fixture::fleet_fixture(const std::vector<queue_options>& queues,
                             fleet::fleet_options options)
    : core_(options) {
  core_.SetManifest(ManifestOf(queues));
  core_.FinishRestore(At(0));
}

void fleet_fixture::AddExecutor(const std::string& id, std::int64_t cpu_millis,
                                std::int64_t at_ms) {
  core_.SetExecutor(
      {.id = id,
       .born_ms = kBornMs,
       .address = id,
       .service = "s",
       .capacity = {.processor_milli = cpu_millis, .memory_mib = kMemoryMib}});
  Report(id, at_ms, {});
}

void fleet_fixture::Report(const std::string& id, std::int64_t at_ms,
                           std::vector<fleet::running_report> running,
                           std::vector<fleet::ended_report> ended) {
  core_.OnHold(id,
               {.born_ms = kBornMs,
                .clock_ms = at_ms,
                .running = std::move(running),
                .ended = std::move(ended)},
               At(at_ms).now, At(at_ms));
  RecordLeases(at_ms);
}

void fleet_fixture::RecordLeases(std::int64_t at_ms) {
  tests::RecordLeases(core_, At(at_ms).now);
}

void fleet_fixture::Store(std::int64_t at_ms) {
  for (;;) {
    const fleet::write_batch batch = core_.Journal().NextBatch(kMaxRecords);
    if (batch.records.empty()) return;
    core_.Journal().Stored(batch.number, ++revision_, At(at_ms));
  }
}

void fleet_fixture::AnswerHolds(std::int64_t at_ms) {
  std::map<std::string, std::vector<fleet::running_report>> reports;
  for (const auto& [id, executor] : core_.Executors()) {
    if (!executor.in_contact || executor.HeldRecently(At(at_ms).now)) continue;
    for (const fleet::task_state* const task : executor.active) {
      if (task->Phase() == fleet::task_phase::kPlaced) reports[id];
    }
  }
  for (auto& [id, running] : reports) {
    for (const fleet::task_state* const task : core_.FindExecutor(id)->active) {
      if (task->Phase() == fleet::task_phase::kPlaced) continue;
      running.push_back({.task = task->Ref(),
                         .run = task->run,
                         .checkpoint = {},
                         .percent = task->percent,
                         .reported_load = task->reported_load});
    }
    Report(id, at_ms, std::move(running));
  }
}

fleet::orders fleet_fixture::Step(std::int64_t at_ms) {
  RecordLeases(at_ms);
  core_.Plan(At(at_ms));
  Store(at_ms);
  AnswerHolds(at_ms);
  return core_.TakeOrders(At(at_ms));
}

fleet::orders fleet_fixture::StepAccepted(std::int64_t at_ms) {
  fleet::orders decided = Step(at_ms);
  for (const fleet::start_order& start : decided.starts) {
    core_.OnStartResponse(start, fleet::start_outcome::kAccepted, At(at_ms));
  }
  return decided;
}

}  // namespace waxwingfront::tests
