// Properties of one planning pass over random shards.
#include "waxwingfront/shard/planner.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>

#include "support/planning_scenario.h"

namespace waxwingfront::shard {
namespace {

using tests::GenerateScenario;
using tests::planning_oracle;
using tests::planning_scenario;

constexpr std::size_t kAll = 1000;

std::vector<schema::attempt_bound> Plan(const planning_scenario& scene,
                                        std::size_t limit = kAll) {
  return PlanBindings(scene.state, scene.candidates, *scene.policy, limit);
}

std::vector<std::string> Texts(
    const std::vector<schema::attempt_bound>& bindings) {
  std::vector<std::string> texts;
  texts.reserve(bindings.size());
  for (const auto& binding : bindings)
    texts.push_back(binding.SerializeAsString());
  return texts;
}

const candidate_worker& WorkerOf(const planning_scenario& scene,
                                 const schema::attempt_bound& binding) {
  return *std::find_if(scene.candidates.begin(), scene.candidates.end(),
                       [&binding](const candidate_worker& item) {
                         return item.info->id == binding.worker();
                       });
}

// Guards against overcommitted hosts and quotas, and against work on hosts that
// the bundle does not permit, that leave or that are quarantined.
TEST_CASE("bindings keep to capacity, shares, quotas and permissions",
          "[shard][planner]") {
  rc::prop("each binding is allowed after those before it", [] {
    const planning_scenario scene = GenerateScenario();
    const auto limit = *rc::gen::elementOf(
        std::vector<std::size_t>{0, 1, 5, 20, kAll, kAll, kAll});
    const auto bindings = Plan(scene, limit);
    RC_CLASSIFY(bindings.size() >= 5, "five bindings or more");
    RC_ASSERT(bindings.size() <= limit);
    planning_oracle ledger(scene);
    for (const auto& binding : bindings) {
      const job_record& job = *ledger.State().FindJob(binding.id().job());
      RC_ASSERT(ledger.IsWithinQuota(job));
      RC_ASSERT(ledger.Allows(job, WorkerOf(scene, binding)));
      RC_ASSERT(ledger.Apply(binding));
    }
  });
}

// Guards against a job that fits nowhere and keeps the jobs behind it waiting.
TEST_CASE("a job that cannot be placed blocks no other", "[shard][planner]") {
  rc::prop("nothing placeable is left after a pass", [] {
    const planning_scenario scene = GenerateScenario();
    planning_oracle ledger(scene);
    for (const auto& binding : Plan(scene)) RC_ASSERT(ledger.Apply(binding));
    for (const auto& [id, job] : ledger.State().Jobs())
      RC_ASSERT(!ledger.IsPlaceable(job));
  });
}

// Guards against work of a lower priority that takes capacity first.
TEST_CASE("higher priorities are bound first", "[shard][planner]") {
  rc::prop("no placeable job of a higher priority is passed over", [] {
    const planning_scenario scene = GenerateScenario();
    planning_oracle ledger(scene);
    for (const auto& binding : Plan(scene)) {
      const int priority =
          ledger.Priority(*ledger.State().FindJob(binding.id().job()));
      for (const auto& [id, job] : ledger.State().Jobs()) {
        RC_ASSERT(ledger.Priority(job) <= priority || !ledger.IsPlaceable(job));
      }
      RC_ASSERT(ledger.Apply(binding));
    }
  });
}

// Guards against a customer that is passed over for one with a larger share.
TEST_CASE("equal priorities share by weight", "[shard][planner]") {
  rc::prop("a binding goes to the placeable customer with the least share", [] {
    const planning_scenario scene = GenerateScenario({.failures = false});
    planning_oracle ledger(scene);
    for (const auto& binding : Plan(scene)) {
      const job_record& chosen = *ledger.State().FindJob(binding.id().job());
      for (const auto& [id, job] : ledger.State().Jobs()) {
        if (ledger.Priority(job) != ledger.Priority(chosen)) continue;
        RC_ASSERT(!ledger.IsPlaceable(job) ||
                  ledger.WeightedShare(chosen) <=
                      ledger.WeightedShare(job) + 1e-12);
      }
      RC_ASSERT(ledger.Apply(binding));
    }
  });

  // The bound on starvation: with equal tasks and a backlog, two customers'
  // shares divided by their weights differ by at most one task.
  rc::prop("weighted shares differ by at most one task", [] {
    planning_scenario scene = GenerateScenario({.plain_policy = true});
    scene.state = {};
    const core::resources size{.processor_milli = 500, .memory_mib = 500};
    for (const auto& customer : scene.policy->Content().customers()) {
      tests::Accept(scene.state,
                    tests::MakeSpec("job-" + customer.name(), customer.name(),
                                    "class-0", size, kAll));
    }
    planning_oracle ledger(scene);
    for (const auto& binding : Plan(scene, *rc::gen::inRange(0, 60)))
      RC_ASSERT(ledger.Apply(binding));
    double least = 1e9;
    double most = 0;
    for (const auto& [id, job] : ledger.State().Jobs()) {
      const auto weight = static_cast<double>(
          scene.policy->FindCustomer(job.spec.customer())->weight());
      const auto tasks = static_cast<double>(job.active.size());
      least = std::min(least, tasks / weight);
      // What the customer had before its last task.
      most = std::max(most, (tasks - 1) / weight);
    }
    RC_ASSERT(most <= least + 1e-9);
  });
}

// Guards against plans that depend on the order of the input or on memory
// addresses.
TEST_CASE("equal inputs give equal plans", "[shard][planner]") {
  rc::prop("the order of the candidates does not matter", [] {
    planning_scenario scene = GenerateScenario();
    const auto texts = Texts(Plan(scene));
    const auto snapshot = scene.state.ToSnapshot(1);
    scene.state = shard_state::FromSnapshot(snapshot);
    std::reverse(scene.candidates.begin(), scene.candidates.end());
    RC_ASSERT(Texts(Plan(scene)) == texts);
  });
}

// Guards against a wave of failures that takes the capacity of first attempts.
TEST_CASE(
    "retries after failures stay within their budget while first "
    "attempts can be placed",
    "[shard][planner]") {
  rc::prop("a retry beyond the budget passes over no first attempt", [] {
    const planning_scenario scene = GenerateScenario();
    planning_oracle ledger(scene);
    std::map<int, std::size_t> all;
    std::map<int, std::size_t> retries;
    for (const auto& binding : Plan(scene)) {
      const job_record& job = *ledger.State().FindJob(binding.id().job());
      const int priority = ledger.Priority(job);
      const bool retry = job.failures.contains(binding.id().task());
      ++all[priority];
      if (retry) ++retries[priority];
      const bool within =
          retries[priority] <= 1 ||
          retries[priority] * 100 <= all[priority] * kRetryPercent;
      for (const auto& [id, other] : ledger.State().Jobs()) {
        const bool first_attempt = other.next_task < other.spec.task_count() &&
                                   ledger.Priority(other) == priority &&
                                   ledger.IsPlaceable(other);
        RC_ASSERT(!retry || within || !first_attempt);
      }
      RC_ASSERT(ledger.Apply(binding));
    }
  });
}

// Guards against capacity that was freed for one job and taken by another.
TEST_CASE("held capacity is left to its job", "[shard][planner]") {
  rc::prop("other jobs' bindings leave the held size free", [] {
    const planning_scenario scene = GenerateScenario();
    const auto& worker =
        scene.workers[*rc::gen::inRange<std::size_t>(0, scene.workers.size())];
    auto job = scene.state.Jobs().begin();
    std::advance(job,
                 *rc::gen::inRange<std::size_t>(0, scene.state.Jobs().size()));
    const std::vector<held_capacity> held{{.job = job->first,
                                           .worker = worker.id,
                                           .size = job->second.task_size}};
    const auto bindings = PlanBindings(scene.state, scene.candidates,
                                       *scene.policy, kAll, {.held = held});
    planning_oracle ledger(scene);
    const bool placeable_there =
        job->second.HasUnboundTask() && ledger.IsWithinQuota(job->second) &&
        !scene.state.Quarantined().contains(worker.id) &&
        ledger.Allows(job->second,
                      scene.candidates[&worker - &scene.workers[0]]);
    if (placeable_there) {
      RC_ASSERT(!bindings.empty());
      RC_ASSERT(bindings.front().id().job() == job->first);
      RC_ASSERT(bindings.front().worker() == worker.id);
    }
    for (const auto& binding : bindings) {
      RC_ASSERT(ledger.Allows(*ledger.State().FindJob(binding.id().job()),
                              WorkerOf(scene, binding)));
      RC_ASSERT(ledger.Apply(binding));
    }
    core::resources left = BatchCapacity(worker, *scene.policy);
    left -= ledger.State().CommittedTo(worker.id);
    left -= scene.candidates[&worker - &scene.workers[0]].unaccounted;
    const bool others_there =
        std::any_of(bindings.begin(), bindings.end(), [&](const auto& binding) {
          return binding.worker() == worker.id &&
                 binding.id().job() != job->first;
        });
    if (others_there && !placeable_there) RC_ASSERT(left.Holds(held[0].size));
  });
}

}  // namespace
}  // namespace waxwingfront::shard
