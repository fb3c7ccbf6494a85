#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "support/fleet_fixture.h"
#include "waxwingfront/fleet/capacity_reserve.h"

namespace waxwingfront::tests {
namespace {

constexpr int kExecutors = 50;

void AddExecutor(fleet::fleet_state& state, const std::string& id) {
  fleet::executor_state& executor = state.executors[id];
  executor.info = {
      .id = id,
      .service = "s",
      .capacity = {.processor_milli = 32'000, .memory_mib = 1'000'000}};
  executor.registered = true;
  executor.reached = true;
  executor.in_contact = true;
}

void AddInterrupted(fleet::fleet_state& state, const std::string& id) {
  schema::fleet_job spec = JobOf(id, 1, 6'000);
  spec.mutable_steps(0)->set_long_running(true);
  auto job = std::make_unique<fleet::job_state>(spec, At(0).now);
  job->Occurrences()[0].steps[0].tasks[0].run = 1;
  state.live.push_back(job.get());
  state.jobs[id] = std::move(job);
}

// Returns how often the cost of a placement is evaluated in 10 s.
std::int64_t EvaluationsFor(int interrupted) {
  constexpr std::int64_t kLengthMs = 10'000;
  constexpr std::int64_t kRoundMs = 20;
  fleet::fleet_state state;
  state.current_manifest = ManifestOf({{}});
  for (int i = 0; i < kExecutors; ++i) AddExecutor(state, std::to_string(i));
  for (int i = 0; i < interrupted; ++i) {
    AddInterrupted(state, "job" + std::to_string(i));
  }
  std::int64_t evaluations = 0;
  fleet::capacity_reserve reserve(
      state,
      [&evaluations](const fleet::executor_state&, const fleet::task_state&,
                     core::monotonic_time) {
        ++evaluations;
        return 0.0;
      },
      {});
  for (std::int64_t now = 0; now < kLengthMs; now += kRoundMs) {
    reserve.Update(At(now).now);
  }
  return evaluations;
}

// Guards against a leader with so many interrupted tasks that reserving
// capacity leaves it no time to place them.
TEST_CASE("the work of reservations does not grow with the interrupted tasks",
          "[fleet][reserve]") {
  CHECK(EvaluationsFor(800) <= 2 * EvaluationsFor(50));
}

// Guards against renewals that become rare with the number of interrupted
// tasks, so that tasks which join hundreds of others wait for seconds.
TEST_CASE("many newly interrupted tasks get reservations at once",
          "[fleet][reserve]") {
  constexpr int kBefore = 100;
  constexpr int kAfter = 140;
  constexpr std::int64_t kRoundMs = 20;
  constexpr std::int64_t kMaxWaitMs = 400;
  fleet::fleet_state state;
  state.current_manifest = ManifestOf({{}});
  for (int i = 0; i < kExecutors; ++i) AddExecutor(state, std::to_string(i));
  for (int i = 0; i < kBefore; ++i) {
    AddInterrupted(state, "before" + std::to_string(i));
  }
  fleet::capacity_reserve reserve(
      state,
      [](const fleet::executor_state&, const fleet::task_state&,
         core::monotonic_time) { return 0.0; },
      {});
  reserve.Update(At(0).now);
  for (int i = 0; i < kAfter; ++i) {
    AddInterrupted(state, "after" + std::to_string(i));
  }
  for (std::int64_t now = kRoundMs; now <= kMaxWaitMs; now += kRoundMs) {
    reserve.Update(At(now).now);
  }
  std::size_t reserved = 0;
  for (const auto& [id, executor] : state.executors) {
    reserved += executor.Reservations().size();
  }
  CHECK(reserved == kBefore + kAfter);
}

}  // namespace
}  // namespace waxwingfront::tests
