// Time that an owner needs to check all workers for due messages. Hidden: run
// with "[.measurement]".
#include <catch2/catch.hpp>
#include <chrono>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/shard/shard_core.h"

namespace waxwingfront::tests {
namespace {

constexpr int kWorkers = 42;
constexpr int kTasks = 720;
constexpr int kTasksPerJob = 8;
constexpr int kScans = 200;

std::string WorkerId(int worker) { return "worker-" + std::to_string(worker); }

shard::shard_state BusyState() {
  shard::shard_state state;
  for (int index = 0; index < kTasks; ++index) {
    const std::string job = "job-" + std::to_string(index / kTasksPerJob);
    if (index % kTasksPerJob == 0) {
      schema::decision accepted;
      schema::job_spec& spec = *accepted.mutable_accepted()->mutable_spec();
      spec.set_id(job);
      spec.set_task_count(kTasksPerJob);
      REQUIRE(state.Apply(accepted));
    }
    schema::decision bound;
    schema::attempt_id& id = *bound.mutable_bound()->mutable_id();
    id.set_job(job);
    id.set_task(index % kTasksPerJob);
    id.set_attempt(1);
    bound.mutable_bound()->set_worker(WorkerId(index % kWorkers));
    REQUIRE(state.Apply(bound));
  }
  return state;
}

// Guards against a scan whose cost grows with workers times active tasks.
TEST_CASE("a scan of 42 workers with 720 active tasks is timed",
          "[.measurement]") {
  const core::monotonic_time start;
  shard::shard_core core(
      {.shard = "north/0", .owner = "entry-0", .nonce = [] { return 1; }},
      {.state = BusyState()}, start, start);
  REQUIRE(core.NextAppend(start));
  core.OnAppendApplied();
  for (int worker = 0; worker < kWorkers; ++worker) {
    REQUIRE(core.NextSync(WorkerId(worker), start));
    schema::sync_response response;
    response.set_incarnation("first");
    response.set_ticket("ticket");
    constexpr int kTicketMs = 6000;
    constexpr int kLeaseMs = 20000;
    response.set_ticket_ms(kTicketMs);
    response.set_task_lease_ms(kLeaseMs);
    for (int index = worker; index < kTasks; index += kWorkers) {
      schema::attempt_report& report = *response.add_attempts();
      report.mutable_id()->set_job("job-" +
                                   std::to_string(index / kTasksPerJob));
      report.mutable_id()->set_task(index % kTasksPerJob);
      report.mutable_id()->set_attempt(1);
      report.set_state(schema::ATTEMPT_STATE_RUNNING);
    }
    core.OnSyncReply(WorkerId(worker), response, start);
  }
  const core::monotonic_time later = start + core::milliseconds(1000);
  const auto begin = std::chrono::steady_clock::now();
  for (int scan = 0; scan < kScans; ++scan) {
    for (const std::string& worker : core.Workers())
      CHECK_FALSE(core.NextSync(worker, later));
  }
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - begin;
  WARN("one scan takes " << spent.count() / kScans << " us");
}

}  // namespace
}  // namespace waxwingfront::tests
