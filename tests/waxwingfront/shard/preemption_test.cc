// Properties of the choice of victims for urgent tasks.
#include "waxwingfront/shard/preemption.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>

#include "support/planning_scenario.h"

namespace waxwingfront::shard {
namespace {

using tests::GenerateScenario;
using tests::planning_oracle;
using tests::planning_scenario;

constexpr std::size_t kNoLimit = 1000;

core::resources SumOf(const std::vector<core::resources>& sizes,
                      const std::vector<std::size_t>& chosen) {
  core::resources sum;
  for (const std::size_t index : chosen) sum += sizes[index];
  return sum;
}

// Returns the lexicographically first smallest cover by trying all subsets.
std::vector<std::size_t> BestByExhaustiveSearch(
    const std::vector<core::resources>& sizes, const core::resources& deficit) {
  std::optional<std::vector<std::size_t>> best;
  for (unsigned subset = 1; subset < 1U << sizes.size(); ++subset) {
    std::vector<std::size_t> chosen;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
      if ((subset >> index & 1U) != 0) chosen.push_back(index);
    }
    if (!SumOf(sizes, chosen).Holds(deficit)) continue;
    const bool better = !best.has_value() || chosen.size() < best->size() ||
                        (chosen.size() == best->size() && chosen < *best);
    if (better) best = chosen;
  }
  return best.value_or(std::vector<std::size_t>{});
}

int Draw(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high + 1));
}

std::vector<core::resources> DrawSizes(int count) {
  std::vector<core::resources> sizes;
  sizes.reserve(count);
  for (int index = 0; index < count; ++index) {
    sizes.push_back({.processor_milli = Draw(0, 9),
                     .memory_mib = Draw(0, 9),
                     .accelerators = Draw(0, 2)});
  }
  return sizes;
}

// Returns a random scenario whose free capacity is used up, with one urgent
// class of a priority above zero and other classes randomly preemptible.
planning_scenario GenerateFullScenario() {
  planning_scenario scenario = GenerateScenario({.failures = false});
  schema::bundle content = scenario.policy->Content();
  auto& urgent = *content.mutable_batch_classes(0);
  urgent.set_urgent(true);
  urgent.set_priority(Draw(1, 3));
  auto& best_effort = *content.add_batch_classes();
  best_effort.set_name("best-effort");
  best_effort.set_preemptible(true);
  best_effort.set_host_share_percent(100);
  best_effort.set_max_failures(1);
  scenario.policy = std::make_unique<bundle::bundle_view>(content, 1);
  tests::Accept(scenario.state,
                tests::MakeSpec("urgent", "customer-0", "class-0",
                                {.processor_milli = 500L * Draw(1, 6),
                                 .memory_mib = 500L * Draw(1, 6)},
                                Draw(1, 4)));
  for (int index = 0; index < 3; ++index) {
    tests::Accept(scenario.state,
                  tests::MakeSpec("best-effort-" + std::to_string(index),
                                  "customer-0", "best-effort",
                                  {.processor_milli = 500L * Draw(0, 3),
                                   .memory_mib = 500L * Draw(1, 3)},
                                  Draw(5, 30)));
  }
  const auto first = PlanBindings(scenario.state, scenario.candidates,
                                  *scenario.policy, kNoLimit);
  for (const auto& binding : first) {
    if (binding.id().job() != "urgent") tests::Apply(scenario.state, binding);
  }
  const auto rest =
      PlanBindings(scenario.state, scenario.candidates, *scenario.policy,
                   kNoLimit, {.is_due = nullptr});
  for (const auto& binding : rest) {
    if (binding.id().job() != "urgent" || Draw(0, 1) == 0)
      tests::Apply(scenario.state, binding);
  }
  return scenario;
}

const job_record& JobOf(const planning_scenario& scenario,
                        const schema::attempt_id& id) {
  return *scenario.state.FindJob(id.job());
}

const schema::batch_class_policy& ClassOf(const planning_scenario& scenario,
                                          const job_record& job) {
  return *scenario.policy->FindBatchClass(job.spec.batch_class());
}

const candidate_worker& WorkerNamed(const planning_scenario& scenario,
                                    const std::string& id) {
  return *std::find_if(
      scenario.candidates.begin(), scenario.candidates.end(),
      [&id](const candidate_worker& item) { return item.info->id == id; });
}

// Guards against more evictions than an urgent task needs.
TEST_CASE("the fewest victims are chosen, earliest bound first",
          "[shard][preemption]") {
  rc::prop("the choice equals that of an exhaustive search", [] {
    const auto sizes = DrawSizes(Draw(0, 8));
    const core::resources deficit{.processor_milli = Draw(-3, 20),
                                  .memory_mib = Draw(-3, 20),
                                  .accelerators = Draw(-1, 3)};
    RC_PRE(!core::resources{}.Holds(deficit));
    RC_ASSERT(detail::SmallestCover(sizes, deficit, kNoLimit) ==
              BestByExhaustiveSearch(sizes, deficit));
  });
  rc::prop("a large search chooses no superfluous victim", [] {
    const auto sizes = DrawSizes(64);
    const core::resources deficit{.processor_milli = Draw(100, 200),
                                  .memory_mib = Draw(100, 200),
                                  .accelerators = Draw(0, 40)};
    const auto chosen = detail::SmallestCover(sizes, deficit, kNoLimit);
    core::resources whole;
    for (const auto& size : sizes) whole += size;
    RC_ASSERT(chosen.empty() == !whole.Holds(deficit));
    for (std::size_t left_out = 0; left_out < chosen.size(); ++left_out) {
      auto fewer = chosen;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(left_out));
      RC_ASSERT(!SumOf(sizes, fewer).Holds(deficit));
    }
  });
}

// Guards against evictions that the bundle does not permit, and against
// evictions that still leave the urgent task without a feasible placement.
TEST_CASE("preemption complies with the bundle and frees enough capacity",
          "[shard][preemption]") {
  rc::prop("victims are preemptible, lower and on the held worker", [] {
    const planning_scenario scenario = GenerateFullScenario();
    std::set<std::string> victims;
    const auto planned = PlanPreemptions(scenario.state, scenario.candidates,
                                         *scenario.policy, Draw(0, 6));
    RC_CLASSIFY(!planned.empty(), "some preemption");
    for (const preemption& item : planned) {
      const auto& urgent =
          ClassOf(scenario, *scenario.state.FindJob(item.held.job));
      RC_ASSERT(urgent.urgent());
      for (const auto& id : item.victims) {
        const auto& batch_class = ClassOf(scenario, JobOf(scenario, id));
        RC_ASSERT(batch_class.preemptible());
        RC_ASSERT(batch_class.priority() < urgent.priority());
        RC_ASSERT(JobOf(scenario, id).active.at(id.task()).worker ==
                  item.held.worker);
        RC_ASSERT(victims.insert(id.SerializeAsString()).second);
      }
    }
  });

  rc::prop("the task is placed once the victims have ended", [] {
    planning_scenario scenario = GenerateFullScenario();
    const auto planned = PlanPreemptions(scenario.state, scenario.candidates,
                                         *scenario.policy, kNoLimit);
    std::vector<held_capacity> held;
    std::map<std::string, std::size_t> expected_count;
    for (const preemption& item : planned) {
      held.push_back(item.held);
      ++expected_count[item.held.job + " on " + item.held.worker];
      for (const auto& id : item.victims)
        tests::End(scenario.state, id, schema::ATTEMPT_OUTCOME_EVICTED);
    }
    const auto bindings =
        PlanBindings(scenario.state, scenario.candidates, *scenario.policy,
                     kNoLimit, {.held = held});
    planning_oracle oracle(scenario);
    std::map<std::string, std::size_t> bound_count;
    for (const auto& binding : bindings) {
      RC_ASSERT(oracle.Allows(*oracle.State().FindJob(binding.id().job()),
                              WorkerNamed(scenario, binding.worker())));
      RC_ASSERT(oracle.Apply(binding));
      ++bound_count[binding.id().job() + " on " + binding.worker()];
    }
    for (const auto& [binding_key, count] : expected_count)
      RC_ASSERT(bound_count[binding_key] >= count);
  });

  rc::prop("no victim is superfluous", [] {
    const planning_scenario scenario = GenerateFullScenario();
    const auto planned = PlanPreemptions(scenario.state, scenario.candidates,
                                         *scenario.policy, 1);
    if (planned.empty()) return;
    const job_record& job = *scenario.state.FindJob(planned[0].held.job);
    const candidate_worker& worker =
        WorkerNamed(scenario, planned[0].held.worker);
    for (std::size_t spared = 0; spared < planned[0].victims.size(); ++spared) {
      planning_scenario fewer;
      fewer.policy =
          std::make_unique<bundle::bundle_view>(scenario.policy->Content(), 1);
      fewer.state = scenario.state;
      fewer.candidates = scenario.candidates;
      for (std::size_t index = 0; index < planned[0].victims.size(); ++index) {
        if (index == spared) continue;
        tests::End(fewer.state, planned[0].victims[index],
                   schema::ATTEMPT_OUTCOME_EVICTED);
      }
      RC_ASSERT(!planning_oracle(fewer).Allows(job, worker));
    }
  });

  rc::prop("an urgent task waits only if no worker could be cleared", [] {
    const planning_scenario scenario = GenerateFullScenario();
    const auto planned = PlanPreemptions(scenario.state, scenario.candidates,
                                         *scenario.policy, 1);
    if (!planned.empty()) return;
    const job_record& job = *scenario.state.FindJob("urgent");
    for (const candidate_worker& worker : scenario.candidates) {
      planning_scenario cleared;
      cleared.policy =
          std::make_unique<bundle::bundle_view>(scenario.policy->Content(), 1);
      cleared.state = scenario.state;
      cleared.candidates = scenario.candidates;
      if (scenario.state.Quarantined().contains(worker.info->id)) continue;
      for (const auto& [id, other] : scenario.state.Jobs()) {
        const auto& batch_class = ClassOf(scenario, other);
        const bool lower =
            batch_class.priority() < ClassOf(scenario, job).priority();
        if (!batch_class.preemptible() || !lower) continue;
        for (const auto& [task, bound] : other.active) {
          if (bound.worker != worker.info->id) continue;
          schema::attempt_id attempt;
          attempt.set_job(id);
          attempt.set_task(task);
          attempt.set_attempt(bound.attempt);
          tests::End(cleared.state, attempt, schema::ATTEMPT_OUTCOME_EVICTED);
        }
      }
      const planning_oracle oracle(cleared);
      const bool quota = planning_oracle(scenario).IsWithinQuota(job);
      RC_ASSERT(!job.HasUnboundTask() || !quota || !oracle.Allows(job, worker));
    }
  });
}

// Guards against further evictions while earlier ones are still in progress.
TEST_CASE("preemption counts held capacity and attempts that are being stopped",
          "[shard][preemption]") {
  rc::prop("planning again adds nothing", [] {
    const planning_scenario scenario = GenerateFullScenario();
    const auto planned = PlanPreemptions(scenario.state, scenario.candidates,
                                         *scenario.policy, kNoLimit);
    std::vector<held_capacity> held;
    std::set<std::string> ending;
    for (const preemption& item : planned) {
      held.push_back(item.held);
      for (const auto& id : item.victims) ending.insert(id.SerializeAsString());
    }
    const auto is_ending = [&ending](const schema::attempt_id& id) {
      return ending.contains(id.SerializeAsString());
    };
    RC_ASSERT(PlanPreemptions(scenario.state, scenario.candidates,
                              *scenario.policy, kNoLimit,
                              {.held = held, .is_ending = is_ending})
                  .empty());
  });

  rc::prop("planning one task at a time yields the same evictions", [] {
    const planning_scenario scenario = GenerateFullScenario();
    const auto at_once = PlanPreemptions(scenario.state, scenario.candidates,
                                         *scenario.policy, kNoLimit);
    std::vector<held_capacity> held;
    std::set<std::string> ending;
    const auto is_ending = [&ending](const schema::attempt_id& id) {
      return ending.contains(id.SerializeAsString());
    };
    for (const preemption& expected : at_once) {
      const auto next =
          PlanPreemptions(scenario.state, scenario.candidates, *scenario.policy,
                          1, {.held = held, .is_ending = is_ending});
      RC_ASSERT(next.size() == 1U);
      RC_ASSERT(next[0].held == expected.held);
      RC_ASSERT(next[0].victims.size() == expected.victims.size());
      held.push_back(next[0].held);
      for (const auto& id : next[0].victims)
        ending.insert(id.SerializeAsString());
    }
  });
}

}  // namespace
}  // namespace waxwingfront::shard
