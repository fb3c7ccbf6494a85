// Quarantine of faulty workers.
#include "waxwingfront/shard/worker_health.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

#include "support/planning_scenario.h"
#include "support/policy_simulation.h"

namespace waxwingfront::shard {
namespace {

constexpr core::monotonic_time kStart{std::chrono::hours(1)};

int Draw(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high + 1));
}

std::string Job(int index) { return "job-" + std::to_string(index); }
std::string Worker(int index) { return "worker-" + std::to_string(index); }

// Quarantines and releases workers as an owner does.
struct quarantine_model {
  int workers = 0;
  worker_health health;
  std::set<int> quarantined;

  failure_attribution Fail(int worker, int job) {
    const auto attribution =
        health.OnFailure(Worker(worker), Job(job),
                         {.this_worker = quarantined.contains(worker),
                          .quarantined = quarantined.size(),
                          .workers = static_cast<std::size_t>(workers)},
                         kStart);
    if (attribution == failure_attribution::kQuarantine)
      quarantined.insert(worker);
    return attribution;
  }
  void Succeed(int worker, int job) {
    health.OnSuccess(Worker(worker), Job(job));
    quarantined.erase(worker);
  }
};

// Guards against a faulty worker that attracts and fails one job after another.
TEST_CASE("a worker on which different jobs fail in a row is quarantined",
          "[shard][quarantine]") {
  rc::prop("the third different job that fails causes the quarantine", [] {
    quarantine_model shard{.workers = 8};
    const int broken = Draw(0, 7);
    std::set<int> failed;
    while (shard.quarantined.empty()) {
      const int job = Draw(0, 5);
      failed.insert(job);
      const auto attribution = shard.Fail(broken, job);
      RC_ASSERT((failed.size() >= kFailuresToQuarantine) ==
                (attribution == failure_attribution::kQuarantine));
    }
    RC_ASSERT(shard.Fail(broken, 7) == failure_attribution::kWorker);
    RC_ASSERT(!shard.health.MayProbe(Worker(broken), kStart));
    RC_ASSERT(shard.health.MayProbe(Worker(broken), kStart + kProbePause));
  });
  rc::prop("a success in between resets the count", [] {
    quarantine_model shard{.workers = 8};
    for (int step = 0; step < 30; ++step) {
      const int failures = Draw(0, static_cast<int>(kFailuresToQuarantine) - 1);
      for (int job = 0; job < failures; ++job)
        RC_ASSERT(shard.Fail(0, step * 10 + job) == failure_attribution::kJob);
      shard.Succeed(0, step * 10 + 9);
    }
  });
}

// Guards against faulty jobs that cause healthy workers to be quarantined.
TEST_CASE("faulty jobs do not quarantine a shard", "[shard][quarantine]") {
  rc::prop("failures of one faulty job are attributed to the job", [] {
    quarantine_model shard{.workers = Draw(1, 40)};
    for (int step = 0; step < 200; ++step) {
      RC_ASSERT(shard.Fail(Draw(0, shard.workers - 1), 0) ==
                failure_attribution::kJob);
    }
  });
  rc::prop("the quarantined part is bounded whatever fails", [] {
    quarantine_model shard{.workers = Draw(1, 40)};
    for (int step = 0; step < 300; ++step) {
      const int worker = Draw(0, shard.workers - 1);
      Draw(0, 5) == 0 ? shard.Succeed(worker, Draw(0, 100))
                      : static_cast<void>(shard.Fail(worker, Draw(0, 100)));
      RC_ASSERT(shard.quarantined.size() <= 1 ||
                shard.quarantined.size() * 100 <=
                    shard.workers * kMaxQuarantinedPercent);
    }
  });
  rc::prop("a faulty job adds to the quarantine of at most two workers", [] {
    quarantine_model shard{.workers = 40};
    const int bad_jobs = Draw(3, 6);
    std::map<int, int> failed_in_service;
    for (int worker = 0; worker < 40; ++worker) {
      for (int job = 0; job < bad_jobs; ++job) {
        const bool in_service = !shard.quarantined.contains(worker);
        const auto attribution = shard.Fail(worker, job);
        // From the third worker in service on, failures are attributed to the
        // job.
        failed_in_service[job] += in_service ? 1 : 0;
        RC_ASSERT(failed_in_service[job] <
                      static_cast<int>(kWorkersToBlameJob) ||
                  attribution == failure_attribution::kJob);
      }
    }
    RC_ASSERT(shard.quarantined.size() * kFailuresToQuarantine <=
              (kWorkersToBlameJob - 1) * static_cast<std::size_t>(bad_jobs));
  });
}

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

// Guards against an owner that does not act on the attribution of failures:
// jobs would fail because of a faulty worker, and a repaired worker would never
// be used again.
TEST_CASE("an owner quarantines a faulty worker and releases it after repair",
          "[shard][quarantine]") {
  tests::policy_simulation simulation({.workers = 4, .policy = MakeBundle()});
  simulation.Worker(0).SetBroken(true);
  constexpr int kJobs = 12;
  for (int job = 0; job < kJobs; ++job) {
    schema::job_spec spec =
        tests::MakeSpec(Job(job), "jihlava", "orders",
                        {.processor_milli = 4000, .memory_mib = 100}, 4);
    spec.set_command("sleep:3000");
    simulation.Submit(spec);
  }
  const auto failures = [&simulation] {
    std::int64_t count = 0;
    for (const auto& [id, job] : simulation.State().Jobs())
      count += job.failed_attempts;
    return count;
  };
  REQUIRE(simulation.RunUntil(
      [&] { return simulation.State().Quarantined().contains(Worker(0)); },
      core::milliseconds(20000)));
  const std::int64_t failures_before = failures();
  REQUIRE(simulation.RunUntil(
      [&] {
        for (int job = 0; job < kJobs; ++job) {
          if (simulation.Status(Job(job)).state() != schema::JOB_STATE_FINISHED)
            return false;
        }
        return true;
      },
      core::milliseconds(120000)));
  CHECK(simulation.State().Quarantined().contains(Worker(0)));
  // Probes failed, but their failures were not attributed to the jobs.
  CHECK(failures() == failures_before);
  std::int64_t worker_faults = 0;
  for (const auto& [id, job] : simulation.State().Jobs())
    worker_faults += job.lost_attempts;
  CHECK(worker_faults > 1);

  simulation.Worker(0).SetBroken(false);
  schema::job_spec spec =
      tests::MakeSpec("later", "jihlava", "orders",
                      {.processor_milli = 8000, .memory_mib = 100}, 400);
  spec.set_command("sleep:3000");
  simulation.Submit(spec);
  // While quarantined, the worker gets one probe; after its success, it gets
  // more tasks.
  simulation.Run(core::milliseconds(2900));
  CHECK(simulation.StartsOn(0, "later") <= 1);
  REQUIRE(simulation.RunUntil(
      [&] { return !simulation.State().Quarantined().contains(Worker(0)); },
      core::milliseconds(60000)));
  CHECK(simulation.StartsOn(0, "later") == 1);
  CHECK(simulation.RunUntil([&] { return simulation.StartsOn(0, "later") > 1; },
                            core::milliseconds(10000)));
}

}  // namespace
}  // namespace waxwingfront::shard
