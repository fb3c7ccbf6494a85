// Tests of the scheduling policy with an owner, stand-in workers and simulated
// time.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support/planning_scenario.h"
#include "support/policy_simulation.h"

namespace waxwingfront::shard {
namespace {

using core::milliseconds;

schema::bundle MakeBundle() {
  schema::bundle content;
  auto& item = *content.add_batch_classes();
  item.set_name("orders");
  item.set_host_share_percent(100);
  item.set_max_failures(2);
  auto& customer = *content.add_customers();
  customer.set_name("jihlava");
  customer.set_weight(1);
  return content;
}

schema::job_spec Spec(const std::string& id, std::int64_t processor_milli,
                      std::int64_t tasks, const std::string& command) {
  schema::job_spec spec = tests::MakeSpec(
      id, "jihlava", "orders",
      {.processor_milli = processor_milli, .memory_mib = 100}, tasks);
  spec.set_command(command);
  return spec;
}

// Guards against work that is placed on a leaving host while the host list is
// stale.
TEST_CASE("a host that reports it is leaving gets no new work within seconds",
          "[shard][leaving]") {
  tests::policy_simulation simulation({.workers = 2, .policy = MakeBundle()});
  simulation.Submit(Spec("stream", 4000, 100000, "sleep:500"));
  REQUIRE(simulation.RunUntil(
      [&] { return simulation.StartsOn(0, "stream") >= 16; },
      milliseconds(10000)));
  // The host list still shows the worker as staying.
  simulation.Worker(0).SetLeaving(true);
  simulation.Run(milliseconds(3000));
  const int before = simulation.StartsOn(0, "stream");
  const int other_before = simulation.StartsOn(1, "stream");
  const auto is_bound_there = [&simulation] {
    const auto& active = simulation.State().FindJob("stream")->active;
    return std::any_of(active.begin(), active.end(), [](const auto& item) {
      return item.second.worker == "worker-0";
    });
  };
  CHECK_FALSE(simulation.RunUntil(is_bound_there, milliseconds(10000)));
  CHECK(simulation.StartsOn(0, "stream") == before);
  CHECK(simulation.StartsOn(1, "stream") > other_before);
}

// Guards against one store write per cancellation.
TEST_CASE("a thousand cancellations take one append", "[shard][cancel]") {
  tests::policy_simulation simulation({.workers = 1, .policy = MakeBundle()});
  constexpr int kJobs = 2000;
  for (int job = 0; job < kJobs; ++job)
    simulation.Submit(
        Spec("job-" + std::to_string(job), 32000, 1, "sleep:600000"));
  simulation.Run(milliseconds(3000));
  REQUIRE(simulation.State().Jobs().size() == kJobs);
  const int appends = simulation.Appends();
  for (int job = 0; job < kJobs; ++job)
    REQUIRE(simulation.Core().Cancel("job-" + std::to_string(job)).has_value());
  REQUIRE(simulation.RunUntil([&] { return simulation.Appends() > appends; },
                              milliseconds(1000)));
  int cancelled = 0;
  for (const auto& decision : simulation.LastRecord().decisions())
    cancelled += decision.has_cancelled() ? 1 : 0;
  CHECK(cancelled == kJobs);
  simulation.Run(milliseconds(3000));
  CHECK(simulation.State().OpenJobs().empty());
  // One append for the cancellations and one for the end of the running task.
  CHECK(simulation.Appends() <= appends + 2);
}

// Guards against a job that waits indefinitely without a reported reason.
TEST_CASE("a job that can no longer run is reported with the reason",
          "[shard][unplaceable]") {
  tests::policy_simulation simulation({.workers = 1, .policy = MakeBundle()});
  simulation.Submit(Spec("long", 32000, 2, "sleep:600000"));
  simulation.Submit(Spec("behind", 1000, 1, "sleep:10"));
  simulation.Run(milliseconds(3000));
  CHECK(simulation.Status("long").waiting_reason().empty());

  schema::bundle narrower = MakeBundle();
  narrower.mutable_batch_classes(0)->set_host_share_percent(50);
  simulation.Core().OnBundle(
      std::make_shared<const bundle::bundle_view>(narrower, 2));
  CHECK(simulation.Status("long").waiting_reason() ==
        "no host that the bundle permits can hold one task");
  CHECK(simulation.Status("behind").waiting_reason().empty());

  schema::bundle without = MakeBundle();
  without.mutable_customers(0)->set_name("other");
  simulation.Core().OnBundle(
      std::make_shared<const bundle::bundle_view>(without, 3));
  CHECK(simulation.Status("long").waiting_reason() ==
        "the bundle has no customer 'jihlava'");
}

// Guards against a large task that starves because no worker is ever empty.
TEST_CASE("a large task starts behind a stream of small ones",
          "[shard][aging]") {
  tests::policy_simulation simulation({.workers = 2, .policy = MakeBundle()});
  constexpr milliseconds kLongestSmall{3000};
  for (int job = 0; job < 3; ++job) {
    simulation.Submit(Spec("small-" + std::to_string(job), 3000, 1000000,
                           "sleep:" + std::to_string(1000 * (job + 1))));
  }
  simulation.Run(milliseconds(3000));
  simulation.Submit(Spec("large", 30000, 1, "sleep:1000"));
  // The bound is the aging limit, the longest small task, and two exchanges and
  // two appends around the reservation.
  CHECK(simulation.RunUntil([&] { return simulation.Starts("large") == 1; },
                            kAgingLimit + kLongestSmall + milliseconds(5000)));
}

// Guards against state and snapshots that grow with the number of all jobs ever
// run.
TEST_CASE("ended jobs are dropped after the retention", "[shard][retention]") {
  tests::policy_simulation simulation({.workers = 1,
                                       .policy = MakeBundle(),
                                       .job_retention = milliseconds(5000)});
  simulation.Submit(Spec("short", 1000, 1, "sleep:10"));
  simulation.Submit(Spec("running", 1000, 1, "sleep:600000"));
  REQUIRE(simulation.RunUntil(
      [&] {
        return simulation.Status("short").state() == schema::JOB_STATE_FINISHED;
      },
      milliseconds(10000)));
  simulation.Run(milliseconds(4000));
  CHECK(simulation.Core().ExpiredJobs(simulation.Now()).empty());
  simulation.Run(milliseconds(1500));
  const std::vector<std::string> expired =
      simulation.Core().ExpiredJobs(simulation.Now());
  REQUIRE(expired == std::vector<std::string>{"short"});
  simulation.Core().Drop("short");
  // Dropping a job twice, or one that has not ended, has no effect.
  simulation.Core().Drop("short");
  simulation.Core().Drop("running");
  simulation.Run(milliseconds(2000));
  CHECK(simulation.State().FindJob("short") == nullptr);
  CHECK(simulation.State().FindJob("running") != nullptr);
  CHECK(simulation.Core().ExpiredJobs(simulation.Now()).empty());
  CHECK(simulation.Core().Snapshot()->jobs_size() == 1);

  schema::decision dropped;
  dropped.mutable_dropped()->set_job("running");
  shard_state state = simulation.State();
  CHECK_FALSE(state.Apply(dropped).has_value());
  CHECK(state.FindJob("running") != nullptr);
}

}  // namespace
}  // namespace waxwingfront::shard
