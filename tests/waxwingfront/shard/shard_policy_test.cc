// The policy as a whole: an owner and stand-in workers with supplied time.
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

// Guards against work that goes to a leaving host while the host list is stale.
TEST_CASE("a host that says it leaves gets no new work within seconds",
          "[shard][leaving]") {
  tests::policy_simulation site({.workers = 2, .policy = MakeBundle()});
  site.Submit(Spec("stream", 4000, 100000, "sleep:500"));
  REQUIRE(site.RunUntil([&] { return site.StartsOn(0, "stream") >= 16; },
                        milliseconds(10000)));
  // The host list keeps saying that the worker stays.
  site.Worker(0).SetLeaving(true);
  site.Run(milliseconds(3000));
  const int before = site.StartsOn(0, "stream");
  const int other_before = site.StartsOn(1, "stream");
  const auto is_bound_there = [&site] {
    const auto& active = site.State().FindJob("stream")->active;
    return std::any_of(active.begin(), active.end(), [](const auto& item) {
      return item.second.worker == "worker-0";
    });
  };
  CHECK_FALSE(site.RunUntil(is_bound_there, milliseconds(10000)));
  CHECK(site.StartsOn(0, "stream") == before);
  CHECK(site.StartsOn(1, "stream") > other_before);
}

// Guards against a write to the store for each of many cancellations.
TEST_CASE("a thousand cancellations take one append", "[shard][cancel]") {
  tests::policy_simulation site({.workers = 1, .policy = MakeBundle()});
  constexpr int kJobs = 2000;
  for (int job = 0; job < kJobs; ++job)
    site.Submit(Spec("job-" + std::to_string(job), 32000, 1, "sleep:600000"));
  site.Run(milliseconds(3000));
  REQUIRE(site.State().Jobs().size() == kJobs);
  const int appends = site.Appends();
  for (int job = 0; job < kJobs; ++job)
    REQUIRE(site.Core().Cancel("job-" + std::to_string(job)).has_value());
  REQUIRE(site.RunUntil([&] { return site.Appends() > appends; },
                        milliseconds(1000)));
  int cancelled = 0;
  for (const auto& decision : site.LastRecord().decisions())
    cancelled += decision.has_cancelled() ? 1 : 0;
  CHECK(cancelled == kJobs);
  site.Run(milliseconds(3000));
  CHECK(site.State().OpenJobs().empty());
  // One append for the cancellations and one for the end of the running task.
  CHECK(site.Appends() <= appends + 2);
}

// Guards against a job that waits for good without a reason.
TEST_CASE("a job that can no longer run is reported with the reason",
          "[shard][unplaceable]") {
  tests::policy_simulation site({.workers = 1, .policy = MakeBundle()});
  site.Submit(Spec("long", 32000, 2, "sleep:600000"));
  site.Submit(Spec("behind", 1000, 1, "sleep:10"));
  site.Run(milliseconds(3000));
  CHECK(site.Status("long").waiting_reason().empty());

  schema::bundle narrower = MakeBundle();
  narrower.mutable_batch_classes(0)->set_host_share_percent(50);
  site.Core().OnBundle(
      std::make_shared<const bundle::bundle_view>(narrower, 2));
  CHECK(site.Status("long").waiting_reason() ==
        "no host that the bundle permits can hold one task");
  CHECK(site.Status("behind").waiting_reason().empty());

  schema::bundle without = MakeBundle();
  without.mutable_customers(0)->set_name("other");
  site.Core().OnBundle(std::make_shared<const bundle::bundle_view>(without, 3));
  CHECK(site.Status("long").waiting_reason() ==
        "the bundle has no customer 'jihlava'");
}

// Guards against a large task that never finds a worker empty.
TEST_CASE("a large task starts behind a stream of small ones",
          "[shard][aging]") {
  tests::policy_simulation site({.workers = 2, .policy = MakeBundle()});
  constexpr milliseconds kLongestSmall{3000};
  for (int job = 0; job < 3; ++job) {
    site.Submit(Spec("small-" + std::to_string(job), 3000, 1000000,
                     "sleep:" + std::to_string(1000 * (job + 1))));
  }
  site.Run(milliseconds(3000));
  site.Submit(Spec("large", 30000, 1, "sleep:1000"));
  // The bound: the limit, the longest small task, and two exchanges and two
  // appends around the reservation.
  CHECK(site.RunUntil([&] { return site.Starts("large") == 1; },
                      kAgingLimit + kLongestSmall + milliseconds(5000)));
}

// Guards against a state and snapshots that grow with every job ever run.
TEST_CASE("ended jobs are dropped after the retention", "[shard][retention]") {
  tests::policy_simulation site({.workers = 1,
                                 .policy = MakeBundle(),
                                 .job_retention = milliseconds(5000)});
  site.Submit(Spec("short", 1000, 1, "sleep:10"));
  site.Submit(Spec("running", 1000, 1, "sleep:600000"));
  REQUIRE(site.RunUntil(
      [&] {
        return site.Status("short").state() == schema::JOB_STATE_FINISHED;
      },
      milliseconds(10000)));
  site.Run(milliseconds(4000));
  CHECK(site.Core().ExpiredJobs(site.Now()).empty());
  site.Run(milliseconds(1500));
  const std::vector<std::string> expired = site.Core().ExpiredJobs(site.Now());
  REQUIRE(expired == std::vector<std::string>{"short"});
  site.Core().Drop("short");
  // A second request and one for a job that has not ended are harmless.
  site.Core().Drop("short");
  site.Core().Drop("running");
  site.Run(milliseconds(2000));
  CHECK(site.State().FindJob("short") == nullptr);
  CHECK(site.State().FindJob("running") != nullptr);
  CHECK(site.Core().ExpiredJobs(site.Now()).empty());
  CHECK(site.Core().Snapshot()->jobs_size() == 1);

  schema::decision dropped;
  dropped.mutable_dropped()->set_job("running");
  shard_state state = site.State();
  CHECK_FALSE(state.Apply(dropped).has_value());
  CHECK(state.FindJob("running") != nullptr);
}

}  // namespace
}  // namespace waxwingfront::shard
