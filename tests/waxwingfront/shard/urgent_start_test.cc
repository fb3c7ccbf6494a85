// Urgent work on a full shard of the stated size, with supplied time.
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

// 720 tasks fill all processors of 42 workers; more wait. Their lengths differ,
// so that ends and starts keep the appends busy.
void Fill(tests::policy_simulation& site) {
  constexpr int kJobs = 24;
  for (int job = 0; job < kJobs; ++job) {
    const std::string command = "sleep:" + std::to_string(4000 + 700 * job);
    site.Submit(Spec("orders-" + std::to_string(job), "orders",
                     32000L * kWorkers / kTasks, 200, command));
  }
  REQUIRE(site.RunUntil(
      [&site] {
        std::size_t active = 0;
        for (const auto& [id, job] : site.State().Jobs())
          active += job.active.size();
        return active >= kTasks - kWorkers;
      },
      core::milliseconds(20000)));
}

// Guards against urgent work that waits for ordinary work to end, for tokens
// that ordinary appends took, or for capacity that others took.
TEST_CASE("urgent work starts within a second on a full shard",
          "[shard][urgent]") {
  tests::policy_simulation site({.workers = kWorkers, .policy = MakeBundle()});
  const core::monotonic_time begun = site.Now();
  Fill(site);
  for (int round = 0; round < 4; ++round) {
    site.Run(core::milliseconds(1500 + 130 * round));
    // Just after an append is the worst time: the next one is farthest away.
    const int appends = site.Appends();
    REQUIRE(site.RunUntil([&] { return site.Appends() > appends; },
                          core::milliseconds(5000)));
    const std::string id = "urgent-" + std::to_string(round);
    constexpr int kUrgentTasks = 3;
    site.Submit(Spec(id, "urgent", 4000, kUrgentTasks, "sleep:60000"));
    const core::monotonic_time submitted = site.Now();
    const bool started = site.RunUntil(
        [&] { return site.Starts(id) == kUrgentTasks; }, kStartLimit);
    INFO("round " << round << ", after "
                  << (site.Now() - submitted) / core::milliseconds(1) << " ms");
    CHECK(started);
  }
  // The store's budget: 2 appends a second and a burst of 4.
  const auto seconds = (site.Now() - begun) / core::milliseconds(1000);
  CHECK(site.Appends() <= 2 * (seconds + 1) + 4);
  // The shard was busy: otherwise tokens would have been there in any case.
  CHECK(site.Appends() >= 3 * seconds / 2);
  std::int64_t evicted = 0;
  for (const auto& [id, job] : site.State().Jobs())
    evicted += job.evicted_attempts;
  // A task of 4,000 needs at most three of 1,866; 12 were submitted.
  constexpr std::int64_t kMostEvictions = 36;
  CHECK(evicted <= kMostEvictions);
  CHECK(evicted > 0);
}

// Guards against freed capacity that goes to waiting work of a higher priority,
// which may not preempt.
TEST_CASE("capacity freed for an urgent task is held for it",
          "[shard][urgent]") {
  schema::bundle policy = MakeBundle();
  auto& important = *policy.add_batch_classes();
  important.set_name("important");
  important.set_priority(20);
  important.set_host_share_percent(100);
  important.set_max_failures(3);
  tests::policy_simulation site({.workers = 1, .policy = policy});
  site.Submit(Spec("orders", "orders", 4000, 8, "sleep:600000"));
  site.Run(core::milliseconds(3000));
  REQUIRE(site.Starts("orders") == 8);
  site.Submit(Spec("important", "important", 4000, 8, "sleep:600000"));
  site.Run(core::milliseconds(3000));
  site.Submit(Spec("urgent", "urgent", 4000, 1, "sleep:600000"));
  CHECK(site.RunUntil([&] { return site.Starts("urgent") == 1; }, kStartLimit));
  CHECK(site.Starts("important") == 0);
  CHECK(site.Status("orders").attempts_evicted() == 1);
}

}  // namespace
}  // namespace waxwingfront::shard
