// Measures the figures from which docs/CAPACITY.md extrapolates to the full
// size: bytes of decisions, snapshots and worker messages, memory of a shard's
// state, and the time to recover that state.
#include <malloc.h>

#include <cstdio>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/schema/gen/worker_protocol.pb.h"
#include "waxwingfront/shard/shard_state.h"

namespace waxwingfront::shard {
namespace {

// Jobs of one day in one of 40 shards; closed jobs stay in the state until they
// expire.
constexpr int kClosedJobs = 350;
constexpr int kTasksPerJob = 10;
constexpr int kTaskCounts[] = {0, 720, 1440, 2880};

schema::attempt_id MakeAttemptId(int job, int task) {
  schema::attempt_id id;
  id.set_job("order-batch-20261204-" + std::to_string(100000 + job));
  id.set_task(task);
  id.set_attempt(1);
  return id;
}

schema::decision MakeAccepted(int job) {
  schema::decision decision;
  schema::job_spec& spec = *decision.mutable_accepted()->mutable_spec();
  spec.set_id(MakeAttemptId(job, 0).job());
  spec.set_customer("jihlava-dispatch");
  spec.set_batch_class("orders");
  spec.mutable_task_size()->set_processor_milli(2000);
  spec.mutable_task_size()->set_memory_mib(4000);
  spec.set_task_count(kTasksPerJob);
  spec.set_command("run-order-batch --input orders/2026-12-04/part");
  return decision;
}

schema::decision MakeBound(int job, int task) {
  schema::decision decision;
  *decision.mutable_bound()->mutable_id() = MakeAttemptId(job, task);
  decision.mutable_bound()->set_worker("worker-" + std::to_string(task % 42));
  decision.mutable_bound()->set_bundle_version(1234);
  return decision;
}

schema::decision MakeEnded(int job, int task) {
  schema::decision decision;
  *decision.mutable_ended()->mutable_id() = MakeAttemptId(job, task);
  decision.mutable_ended()->set_outcome(schema::ATTEMPT_OUTCOME_FINISHED);
  return decision;
}

// Returns a state with one day's closed jobs and `tasks` running tasks.
shard_state MakeState(int tasks) {
  shard_state state;
  int job = 0;
  for (; job < kClosedJobs; ++job) {
    static_cast<void>(state.Apply(MakeAccepted(job)));
    for (int task = 0; task < kTasksPerJob; ++task) {
      static_cast<void>(state.Apply(MakeBound(job, task)));
      static_cast<void>(state.Apply(MakeEnded(job, task)));
    }
  }
  for (int index = 0; index < tasks; ++index) {
    const int task = index % kTasksPerJob;
    if (task == 0) static_cast<void>(state.Apply(MakeAccepted(++job)));
    static_cast<void>(state.Apply(MakeBound(job, task)));
  }
  return state;
}

void PrintDecisionSizes() {
  std::printf("bytes of a decision: accepted %zu, bound %zu, ended %zu\n",
              MakeAccepted(1).ByteSizeLong(), MakeBound(1, 2).ByteSizeLong(),
              MakeEnded(1, 2).ByteSizeLong());
}

void PrintState(int tasks) {
  const std::size_t before = mallinfo2().uordblks;
  const shard_state state = MakeState(tasks);
  const std::size_t memory = mallinfo2().uordblks - before;
  const std::string snapshot = state.ToSnapshot(1).SerializeAsString();
  const auto begin = core::Now();
  schema::shard_snapshot parsed;
  parsed.ParseFromString(snapshot);
  const shard_state recovered = shard_state::FromSnapshot(parsed);
  const std::chrono::duration<double, std::milli> elapsed = core::Now() - begin;
  std::printf(
      "%d closed jobs and %4d running tasks: memory %zu KB, snapshot %zu "
      "bytes, read in %.2f ms\n",
      kClosedJobs, tasks, memory / 1024, snapshot.size(), elapsed.count());
}

// Prints the sizes of one sync with a worker that runs `tasks` tasks, without
// HTTP headers.
void PrintSync(int tasks) {
  schema::sync_request request;
  request.set_owner("entry-17");
  request.set_shard("jihlava-north/0");
  request.set_epoch(12);
  request.set_ticket(std::string(32, 'a'));
  request.set_renew(true);
  schema::sync_response response;
  response.set_incarnation(std::string(32, 'b'));
  response.set_ticket(std::string(32, 'c'));
  response.set_ticket_ms(6000);
  response.set_task_lease_ms(20000);
  for (int task = 0; task < tasks; ++task) {
    schema::attempt_report& report = *response.add_attempts();
    *report.mutable_id() = MakeAttemptId(task, task);
    report.set_state(schema::ATTEMPT_STATE_RUNNING);
    report.mutable_size()->set_processor_milli(2000);
    report.mutable_size()->set_memory_mib(4000);
  }
  std::printf("sync with %2d running tasks: request %zu, response %zu bytes\n",
              tasks, core::ToJson(request).size(),
              core::ToJson(response).size());
}

void PrintAll() {
  PrintDecisionSizes();
  for (const int tasks : kTaskCounts) PrintState(tasks);
  for (const int tasks : {0, 17, 34}) PrintSync(tasks);
}

}  // namespace
}  // namespace waxwingfront::shard

int main() {
  waxwingfront::shard::PrintAll();
  return 0;
}
