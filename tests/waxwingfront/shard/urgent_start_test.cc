// Start time of urgent work on a full shard of the specified size, in simulated
// time.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "support/planning_scenario.h"
#include "support/policy_simulation.h"

namespace waxwingfront::shard {
namespace {

constexpr int kWorkers = 42;
constexpr int kTasks = 720;
constexpr core::milliseconds kStartLimit{1000};

schema::bundle MakeBundle() {
  schema::bundle content;
  for (const bool urgent : {false, true}) {
    auto& item = *content.add_batch_classes();
    item.set_name(urgent ? "urgent" : "orders");
    item.set_priority(urgent ? 10 : 0);
    item.set_urgent(urgent);
    item.set_preemptible(!urgent);
    item.set_host_share_percent(100);
    item.set_max_failures(3);
  }
  auto& customer = *content.add_customers();
  customer.set_name("jihlava");
  customer.set_weight(1);
  return content;
}

schema::job_spec Spec(const std::string& id, const std::string& batch_class,
                      std::int64_t processor_milli, std::int64_t tasks,
                      const std::string& command) {
  schema::job_spec spec = tests::MakeSpec(
      id, "jihlava", batch_class,
      {.processor_milli = processor_milli, .memory_mib = 1000}, tasks);
  spec.set_command(command);
  return spec;
}

// Submits more tasks than fit: 720 tasks use all processors of 42 workers. The
// run times differ, so that ends and starts continuously cause appends.
void FillWorkers(tests::policy_simulation& simulation) {
  constexpr int kJobs = 24;
  for (int job = 0; job < kJobs; ++job) {
    const std::string command = "sleep:" + std::to_string(4000 + 700 * job);
    simulation.Submit(Spec("orders-" + std::to_string(job), "orders",
                           32000L * kWorkers / kTasks, 200, command));
  }
  REQUIRE(simulation.RunUntil(
      [&simulation] {
        std::size_t active = 0;
        for (const auto& [id, job] : simulation.State().Jobs())
          active += job.active.size();
        return active >= kTasks - kWorkers;
      },
      core::milliseconds(20000)));
}

// Guards against urgent work that waits for other work to end, for append
// tokens used by other work, or for freed capacity taken by other jobs.
TEST_CASE("urgent work starts within a second on a full shard",
          "[shard][urgent]") {
  tests::policy_simulation simulation(
      {.workers = kWorkers, .policy = MakeBundle()});
  const core::monotonic_time begun = simulation.Now();
  FillWorkers(simulation);
  for (int round = 0; round < 4; ++round) {
    simulation.Run(core::milliseconds(1500 + 130 * round));
    // Just after an append is the worst case, because the time to the next
    // append is longest.
    const int appends = simulation.Appends();
    REQUIRE(simulation.RunUntil([&] { return simulation.Appends() > appends; },
                                core::milliseconds(5000)));
    const std::string id = "urgent-" + std::to_string(round);
    constexpr int kUrgentTasks = 3;
    simulation.Submit(Spec(id, "urgent", 4000, kUrgentTasks, "sleep:60000"));
    const core::monotonic_time submitted = simulation.Now();
    const bool started = simulation.RunUntil(
        [&] { return simulation.Starts(id) == kUrgentTasks; }, kStartLimit);
    INFO("round " << round << ", after "
                  << (simulation.Now() - submitted) / core::milliseconds(1)
                  << " ms");
    CHECK(started);
  }
  // The store's budget is 2 appends per second with a burst of 4.
  const auto seconds = (simulation.Now() - begun) / core::milliseconds(1000);
  CHECK(simulation.Appends() <= 2 * (seconds + 1) + 4);
  // Checks that the shard was busy; otherwise tokens would have been available
  // in any case.
  CHECK(simulation.Appends() >= 3 * seconds / 2);
  std::int64_t evicted = 0;
  for (const auto& [id, job] : simulation.State().Jobs())
    evicted += job.evicted_attempts;
  // An urgent task of 4,000 processor_milli needs at most three evictions of
  // 1,866 each; 12 urgent tasks were submitted.
  constexpr std::int64_t kMostEvictions = 36;
  CHECK(evicted <= kMostEvictions);
  CHECK(evicted > 0);
}

// Guards against freed capacity that is taken by waiting work of a higher
// priority that may not preempt.
TEST_CASE("capacity freed for an urgent task is held for it",
          "[shard][urgent]") {
  schema::bundle policy = MakeBundle();
  auto& important = *policy.add_batch_classes();
  important.set_name("important");
  important.set_priority(20);
  important.set_host_share_percent(100);
  important.set_max_failures(3);
  tests::policy_simulation simulation({.workers = 1, .policy = policy});
  simulation.Submit(Spec("orders", "orders", 4000, 8, "sleep:600000"));
  simulation.Run(core::milliseconds(3000));
  REQUIRE(simulation.Starts("orders") == 8);
  simulation.Submit(Spec("important", "important", 4000, 8, "sleep:600000"));
  simulation.Run(core::milliseconds(3000));
  simulation.Submit(Spec("urgent", "urgent", 4000, 1, "sleep:600000"));
  CHECK(simulation.RunUntil([&] { return simulation.Starts("urgent") == 1; },
                            kStartLimit));
  CHECK(simulation.Starts("important") == 0);
  CHECK(simulation.Status("orders").attempts_evicted() == 1);
}

}  // namespace
}  // namespace waxwingfront::shard
