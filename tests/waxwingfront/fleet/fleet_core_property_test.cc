// The leader's decisions under late, lost and doubled messages, lost answers of
// the store, crashed and cut executors, and leaders that replace each other.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <sstream>
#include <string_view>

#include "support/simulated_fleet.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kTroubleMs = 30'000;
// Longest wait for an executor that is cut off, a new leader's wait included,
// and the work itself several times over.
constexpr std::int64_t kCalmMs = 60'000;
// The same with more and longer work, that took longer to begin.
constexpr std::int64_t kSlowCalmMs = 120'000;

void RequireNoViolation(const simulated_fleet& world) {
  std::ostringstream all;
  for (const std::string& one : world.Violations()) all << one << "; ";
  if (!world.Violations().empty()) RC_FAIL(all.str());
}

TEST_CASE("no task runs twice and no job is lost whatever fails", "[fleet]") {
  rc::prop("one run at a time, in order, as stored, and all jobs end", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    simulated_fleet world(seed, {});
    world.Run(kTroubleMs, false);
    RequireNoViolation(world);
    world.Run(kCalmMs, true);
    RequireNoViolation(world);
    RC_ASSERT(world.AllFinal());
  });
}

TEST_CASE("frequent changes of the leader neither double nor lose a task",
          "[fleet]") {
  rc::prop("the same with a fault nearly every second", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    simulated_fleet world(
        seed,
        {.lost_per_mille = 80, .late_per_mille = 80, .faults_per_mille = 900});
    world.Run(kTroubleMs, false);
    RequireNoViolation(world);
    world.Run(kCalmMs, true);
    RequireNoViolation(world);
    RC_ASSERT(world.AllFinal());
  });
}

// A leader that reads its answers seconds late, gives some up, and reaches many
// executors only after the leases of the leader before it.
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

TEST_CASE("several batches at a time neither double nor lose a task",
          "[fleet]") {
  rc::prop("the same with lost, late and doubled batches of few jobs", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    simulated_fleet world(seed, {.jobs = 12,
                                 .lost_per_mille = 80,
                                 .late_per_mille = 80,
                                 .duplicated_per_mille = 80,
                                 .faults_per_mille = 300,
                                 .max_open_batches = 3,
                                 .max_batch_records = 3});
    world.Run(kTroubleMs, false);
    RequireNoViolation(world);
    world.Run(kCalmMs, true);
    RequireNoViolation(world);
    RC_ASSERT(world.AllFinal());
  });
}

TEST_CASE("a slow leader serves less but breaks no rule", "[fleet]") {
  rc::prop("sound executors, an end that was listed counts", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    simulated_fleet world(seed, Slow({.lost_per_mille = 0,
                                      .late_per_mille = 0,
                                      .faults_per_mille = 100,
                                      .reliable_executors = true}));
    world.Run(kTroubleMs, false);
    RequireNoViolation(world);
    world.Run(kSlowCalmMs, true);
    RequireNoViolation(world);
    RC_ASSERT(world.AllFinal());
  });
  rc::prop("the same beside crashes, cuts and lost messages", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    simulated_fleet world(seed, Slow({}));
    world.Run(kTroubleMs, false);
    RequireNoViolation(world);
    world.Run(kSlowCalmMs, true);
    RequireNoViolation(world);
    RC_ASSERT(world.AllFinal());
  });
}

TEST_CASE("walks that once broke a rule keep it", "[fleet]") {
  struct failed_walk {
    std::uint32_t seed;
    simulated_fleet_options options;
    std::string_view cause;
  };
  const simulated_fleet_options wild{
      .lost_per_mille = 80, .late_per_mille = 80, .faults_per_mille = 900};
  const auto walk = GENERATE_COPY(
      failed_walk{
          12, {}, "a placed start counted as lapsed before it was sent"},
      failed_walk{41, {}, "a start to a new incarnation counted as lapsed"},
      failed_walk{369, wild,
                  "a start answered by a new incarnation, before a hold showed "
                  "it, counted as lost"});
  INFO(walk.cause);
  simulated_fleet world(walk.seed, walk.options);
  world.Run(kTroubleMs, false);
  world.Run(kCalmMs, true);
  CHECK(world.Violations().empty());
  CHECK(world.AllFinal());
}

}  // namespace
}  // namespace waxwingfront::tests
