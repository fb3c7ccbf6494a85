// Guards against tasks that run twice or jobs that get lost under delayed, lost
// and duplicated messages, lost store responses, crashed and disconnected
// executors, and leader changes.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <sstream>
#include <string_view>

#include "support/simulated_fleet.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kFaultPhaseMs = 30'000;
// Covers the longest wait for a disconnected executor, including a new leader's
// wait, and several times the work itself.
constexpr std::int64_t kRecoveryMs = 60'000;
// The same with more and longer tasks, which take longer to begin.
constexpr std::int64_t kSlowRecoveryMs = 120'000;

void RequireNoViolation(const simulated_fleet& simulation) {
  std::ostringstream all;
  for (const std::string& one : simulation.Violations()) all << one << "; ";
  if (!simulation.Violations().empty()) RC_FAIL(all.str());
}

TEST_CASE("no task runs twice and no job is lost under any failures",
          "[fleet]") {
  rc::prop("tasks run one at a time, in order, as stored, and all jobs end",
           [] {
             const auto seed = *rc::gen::arbitrary<std::uint32_t>();
             simulated_fleet simulation(seed, {});
             simulation.Run(kFaultPhaseMs, false);
             RequireNoViolation(simulation);
             simulation.Run(kRecoveryMs, true);
             RequireNoViolation(simulation);
             RC_ASSERT(simulation.AllFinal());
           });
}

TEST_CASE("frequent leader changes neither duplicate nor lose a task",
          "[fleet]") {
  rc::prop("invariants hold with a fault nearly every second", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    simulated_fleet simulation(
        seed,
        {.lost_per_mille = 80, .late_per_mille = 80, .faults_per_mille = 900});
    simulation.Run(kFaultPhaseMs, false);
    RequireNoViolation(simulation);
    simulation.Run(kRecoveryMs, true);
    RequireNoViolation(simulation);
    RC_ASSERT(simulation.AllFinal());
  });
}

// A leader that reads its responses seconds late, abandons some, and reaches
// many executors only after the previous leader's leases have expired.
simulated_fleet_options Slow(simulated_fleet_options options) {
  options.executors = 4;
  options.jobs = 20;
  options.uneven_tasks = true;
  options.drains_per_mille = 250;
  options.stalls_per_mille = 400;
  options.max_stall_ms = 5000;
  options.dropped_per_mille = 500;
  options.max_hold_wait_ms = 2000;
  options.max_takeover_delay_ms = 14'000;
  return options;
}

TEST_CASE("concurrent store batches neither duplicate nor lose a task",
          "[fleet]") {
  rc::prop("invariants hold with lost, late and duplicated batches of few jobs",
           [] {
             const auto seed = *rc::gen::arbitrary<std::uint32_t>();
             simulated_fleet simulation(seed, {.jobs = 12,
                                               .lost_per_mille = 80,
                                               .late_per_mille = 80,
                                               .duplicated_per_mille = 80,
                                               .faults_per_mille = 300,
                                               .max_open_batches = 3,
                                               .max_batch_records = 3});
             simulation.Run(kFaultPhaseMs, false);
             RequireNoViolation(simulation);
             simulation.Run(kRecoveryMs, true);
             RequireNoViolation(simulation);
             RC_ASSERT(simulation.AllFinal());
           });
}

TEST_CASE("no executor forgets an end that is not stored", "[fleet]") {
  rc::prop("invariants hold while entries lapse and store responses are lost",
           [] {
             const auto seed = *rc::gen::arbitrary<std::uint32_t>();
             simulated_fleet simulation(seed, {.jobs = 12,
                                               .lost_per_mille = 150,
                                               .late_per_mille = 150,
                                               .faults_per_mille = 300,
                                               .max_open_batches = 3,
                                               .max_batch_records = 3,
                                               .lapses_per_mille = 700,
                                               .max_lapse_ms = 2000,
                                               .crash_downtime_ms = 2000});
             simulation.Run(kFaultPhaseMs, false);
             RequireNoViolation(simulation);
             simulation.Run(kRecoveryMs, true);
             RequireNoViolation(simulation);
             RC_ASSERT(simulation.AllFinal());
           });
}

TEST_CASE("no executor forgets an end of a gang that is not stored",
          "[fleet]") {
  rc::prop("invariants hold while entries lapse and store responses are lost",
           [] {
             const auto seed = *rc::gen::arbitrary<std::uint32_t>();
             simulated_fleet simulation(seed, {.jobs = 12,
                                               .lost_per_mille = 150,
                                               .late_per_mille = 150,
                                               .faults_per_mille = 300,
                                               .max_open_batches = 3,
                                               .max_batch_records = 3,
                                               .lapses_per_mille = 700,
                                               .max_lapse_ms = 2000,
                                               .crash_downtime_ms = 2000,
                                               .gangs = true});
             simulation.Run(kFaultPhaseMs, false);
             RequireNoViolation(simulation);
             simulation.Run(kRecoveryMs, true);
             RequireNoViolation(simulation);
             RC_ASSERT(simulation.AllFinal());
           });
  rc::prop("invariants hold with a fault nearly every second", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    simulated_fleet simulation(seed, {.lost_per_mille = 80,
                                      .late_per_mille = 80,
                                      .faults_per_mille = 900,
                                      .gangs = true});
    simulation.Run(kFaultPhaseMs, false);
    RequireNoViolation(simulation);
    simulation.Run(kRecoveryMs, true);
    RequireNoViolation(simulation);
    RC_ASSERT(simulation.AllFinal());
  });
}

TEST_CASE("a slow leader violates no invariant", "[fleet]") {
  rc::prop("executors without faults: a reported end counts", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    simulated_fleet simulation(seed, Slow({.lost_per_mille = 0,
                                           .late_per_mille = 0,
                                           .faults_per_mille = 100,
                                           .reliable_executors = true}));
    simulation.Run(kFaultPhaseMs, false);
    RequireNoViolation(simulation);
    simulation.Run(kSlowRecoveryMs, true);
    RequireNoViolation(simulation);
    RC_ASSERT(simulation.AllFinal());
  });
  rc::prop("invariants hold under crashes, disconnections and lost messages",
           [] {
             const auto seed = *rc::gen::arbitrary<std::uint32_t>();
             simulated_fleet simulation(seed, Slow({}));
             simulation.Run(kFaultPhaseMs, false);
             RequireNoViolation(simulation);
             simulation.Run(kSlowRecoveryMs, true);
             RequireNoViolation(simulation);
             RC_ASSERT(simulation.AllFinal());
           });
}

TEST_CASE("simulations that once violated an invariant no longer do",
          "[fleet]") {
  struct failed_run {
    std::uint32_t seed;
    simulated_fleet_options options;
    std::string_view cause;
  };
  const simulated_fleet_options frequent_faults{
      .lost_per_mille = 80, .late_per_mille = 80, .faults_per_mille = 900};
  const auto run = GENERATE_COPY(
      failed_run{
          12, {}, "a placed start was treated as expired before it was sent"},
      failed_run{41, {}, "a start to a new incarnation was treated as expired"},
      failed_run{369, frequent_faults,
                 "a start answered by a new incarnation, before a hold showed "
                 "it, counted as lost"});
  INFO(run.cause);
  simulated_fleet simulation(run.seed, run.options);
  simulation.Run(kFaultPhaseMs, false);
  simulation.Run(kRecoveryMs, true);
  CHECK(simulation.Violations().empty());
  CHECK(simulation.AllFinal());
}

}  // namespace
}  // namespace waxwingfront::tests
