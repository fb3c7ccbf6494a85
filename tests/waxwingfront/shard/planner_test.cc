// Properties of single planning passes over random shards.
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

constexpr std::size_t kNoLimit = 1000;

std::vector<schema::attempt_bound> Plan(const planning_scenario& scenario,
                                        std::size_t limit = kNoLimit) {
  return PlanBindings(scenario.state, scenario.candidates, *scenario.policy,
                      limit);
}

std::vector<std::string> SerializeAll(
    const std::vector<schema::attempt_bound>& bindings) {
  std::vector<std::string> serialized;
  serialized.reserve(bindings.size());
  for (const auto& binding : bindings)
    serialized.push_back(binding.SerializeAsString());
  return serialized;
}

const candidate_worker& WorkerOf(const planning_scenario& scenario,
                                 const schema::attempt_bound& binding) {
  return *std::find_if(scenario.candidates.begin(), scenario.candidates.end(),
                       [&binding](const candidate_worker& item) {
                         return item.info->id == binding.worker();
                       });
}

// Guards against overcommitted hosts and quotas, and against placements on
// hosts that are leaving, quarantined or not permitted by the bundle.
TEST_CASE("bindings respect capacity, host shares, quotas and permissions",
          "[shard][planner]") {
  rc::prop("each binding is valid after the preceding ones", [] {
    const planning_scenario scenario = GenerateScenario();
    const auto limit = *rc::gen::elementOf(
        std::vector<std::size_t>{0, 1, 5, 20, kNoLimit, kNoLimit, kNoLimit});
    const auto bindings = Plan(scenario, limit);
    RC_CLASSIFY(bindings.size() >= 5, "five bindings or more");
    RC_ASSERT(bindings.size() <= limit);
    planning_oracle oracle(scenario);
    for (const auto& binding : bindings) {
      const job_record& job = *oracle.State().FindJob(binding.id().job());
      RC_ASSERT(oracle.IsWithinQuota(job));
      RC_ASSERT(oracle.Allows(job, WorkerOf(scenario, binding)));
      RC_ASSERT(oracle.Apply(binding));
    }
  });
}

// Guards against head-of-line blocking by a job without a feasible placement.
TEST_CASE("a job that cannot be placed blocks no other", "[shard][planner]") {
  rc::prop("no placeable task remains after a pass", [] {
    const planning_scenario scenario = GenerateScenario();
    planning_oracle oracle(scenario);
    for (const auto& binding : Plan(scenario)) RC_ASSERT(oracle.Apply(binding));
    for (const auto& [id, job] : oracle.State().Jobs())
      RC_ASSERT(!oracle.IsPlaceable(job));
  });
}

// Guards against capacity that goes to work of a lower priority first.
TEST_CASE("higher priorities are bound first", "[shard][planner]") {
  rc::prop("no placeable job of a higher priority is skipped", [] {
    const planning_scenario scenario = GenerateScenario();
    planning_oracle oracle(scenario);
    for (const auto& binding : Plan(scenario)) {
      const int priority =
          oracle.Priority(*oracle.State().FindJob(binding.id().job()));
      for (const auto& [id, job] : oracle.State().Jobs()) {
        RC_ASSERT(oracle.Priority(job) <= priority || !oracle.IsPlaceable(job));
      }
      RC_ASSERT(oracle.Apply(binding));
    }
  });
}

// Guards against a binding for a customer while another one with a smaller
// weighted share has a placeable task.
TEST_CASE("customers of equal priority share capacity by weight",
          "[shard][planner]") {
  rc::prop("a binding goes to the placeable customer with the least share", [] {
    const planning_scenario scenario = GenerateScenario({.failures = false});
    planning_oracle oracle(scenario);
    for (const auto& binding : Plan(scenario)) {
      const job_record& chosen = *oracle.State().FindJob(binding.id().job());
      for (const auto& [id, job] : oracle.State().Jobs()) {
        if (oracle.Priority(job) != oracle.Priority(chosen)) continue;
        RC_ASSERT(!oracle.IsPlaceable(job) ||
                  oracle.WeightedShare(chosen) <=
                      oracle.WeightedShare(job) + 1e-12);
      }
      RC_ASSERT(oracle.Apply(binding));
    }
  });

  // Bound on starvation: with equal tasks and a backlog, the weighted shares of
  // two customers differ by at most one task.
  rc::prop("weighted shares differ by at most one task", [] {
    planning_scenario scenario = GenerateScenario({.plain_policy = true});
    scenario.state = {};
    const core::resources size{.processor_milli = 500, .memory_mib = 500};
    for (const auto& customer : scenario.policy->Content().customers()) {
      tests::Accept(scenario.state,
                    tests::MakeSpec("job-" + customer.name(), customer.name(),
                                    "class-0", size, kNoLimit));
    }
    planning_oracle oracle(scenario);
    for (const auto& binding : Plan(scenario, *rc::gen::inRange(0, 60)))
      RC_ASSERT(oracle.Apply(binding));
    double least = 1e9;
    double most = 0;
    for (const auto& [id, job] : oracle.State().Jobs()) {
      const auto weight = static_cast<double>(
          scenario.policy->FindCustomer(job.spec.customer())->weight());
      const auto tasks = static_cast<double>(job.active.size());
      least = std::min(least, tasks / weight);
      // The customer's weighted share before its last task.
      most = std::max(most, (tasks - 1) / weight);
    }
    RC_ASSERT(most <= least + 1e-9);
  });
}

// Guards against plans that depend on the order of the input or on memory
// addresses.
TEST_CASE("equal inputs produce equal plans", "[shard][planner]") {
  rc::prop("the order of the candidates does not matter", [] {
    planning_scenario scenario = GenerateScenario();
    const auto serialized = SerializeAll(Plan(scenario));
    const auto snapshot = scenario.state.ToSnapshot(1);
    scenario.state = shard_state::FromSnapshot(snapshot);
    std::reverse(scenario.candidates.begin(), scenario.candidates.end());
    RC_ASSERT(SerializeAll(Plan(scenario)) == serialized);
  });
}

// Guards against a burst of failures whose retries take the capacity of first
// attempts.
TEST_CASE(
    "retries stay within the retry budget while first attempts can be "
    "placed",
    "[shard][planner]") {
  rc::prop("no retry beyond the budget precedes a first attempt", [] {
    const planning_scenario scenario = GenerateScenario();
    planning_oracle oracle(scenario);
    std::map<int, std::size_t> all;
    std::map<int, std::size_t> retries;
    for (const auto& binding : Plan(scenario)) {
      const job_record& job = *oracle.State().FindJob(binding.id().job());
      const int priority = oracle.Priority(job);
      const bool retry = job.failures.contains(binding.id().task());
      ++all[priority];
      if (retry) ++retries[priority];
      const bool within =
          retries[priority] <= 1 ||
          retries[priority] * 100 <= all[priority] * kRetryBudgetPercent;
      for (const auto& [id, other] : oracle.State().Jobs()) {
        const bool first_attempt = other.next_task < other.spec.task_count() &&
                                   oracle.Priority(other) == priority &&
                                   oracle.IsPlaceable(other);
        RC_ASSERT(!retry || within || !first_attempt);
      }
      RC_ASSERT(oracle.Apply(binding));
    }
  });
}

// Guards against capacity that is freed for one job and taken by another.
TEST_CASE("held capacity is used by its job only", "[shard][planner]") {
  rc::prop("bindings of other jobs do not use the held capacity", [] {
    const planning_scenario scenario = GenerateScenario();
    const auto& worker = scenario.workers[*rc::gen::inRange<std::size_t>(
        0, scenario.workers.size())];
    auto job = scenario.state.Jobs().begin();
    std::advance(
        job, *rc::gen::inRange<std::size_t>(0, scenario.state.Jobs().size()));
    const std::vector<held_capacity> held{{.job = job->first,
                                           .worker = worker.id,
                                           .size = job->second.task_size}};
    const auto bindings =
        PlanBindings(scenario.state, scenario.candidates, *scenario.policy,
                     kNoLimit, {.held = held});
    planning_oracle oracle(scenario);
    const bool placeable_there =
        job->second.HasUnboundTask() && oracle.IsWithinQuota(job->second) &&
        !scenario.state.Quarantined().contains(worker.id) &&
        oracle.Allows(job->second,
                      scenario.candidates[&worker - &scenario.workers[0]]);
    if (placeable_there) {
      RC_ASSERT(!bindings.empty());
      RC_ASSERT(bindings.front().id().job() == job->first);
      RC_ASSERT(bindings.front().worker() == worker.id);
    }
    for (const auto& binding : bindings) {
      RC_ASSERT(oracle.Allows(*oracle.State().FindJob(binding.id().job()),
                              WorkerOf(scenario, binding)));
      RC_ASSERT(oracle.Apply(binding));
    }
    core::resources free = BatchCapacity(worker, *scenario.policy);
    free -= oracle.State().CommittedToWorker(worker.id);
    free -= scenario.candidates[&worker - &scenario.workers[0]].unaccounted;
    const bool has_other_binding =
        std::any_of(bindings.begin(), bindings.end(), [&](const auto& binding) {
          return binding.worker() == worker.id &&
                 binding.id().job() != job->first;
        });
    if (has_other_binding && !placeable_there)
      RC_ASSERT(free.Holds(held[0].size));
  });
}

}  // namespace
}  // namespace waxwingfront::shard
