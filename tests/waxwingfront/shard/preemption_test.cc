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

constexpr std::size_t kAll = 1000;

core::resources SumOf(const std::vector<core::resources>& sizes,
                      const std::vector<std::size_t>& chosen) {
  core::resources sum;
  for (const std::size_t index : chosen) sum += sizes[index];
  return sum;
}

// The first in lexicographic order of the fewest, by trying all subsets.
std::vector<std::size_t> BestByTrial(const std::vector<core::resources>& sizes,
                                     const core::resources& deficit) {
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

// A scene whose free capacity is used up, with every class preemptible or not
// as drawn, and one urgent class of a priority above zero.
planning_scenario DrawFullScene() {
  planning_scenario scene = GenerateScenario({.failures = false});
  schema::bundle content = scene.policy->Content();
  auto& urgent = *content.mutable_batch_classes(0);
  urgent.set_urgent(true);
  urgent.set_priority(Draw(1, 3));
  auto& filler = *content.add_batch_classes();
  filler.set_name("filler");
  filler.set_preemptible(true);
  filler.set_host_share_percent(100);
  filler.set_max_failures(1);
  scene.policy = std::make_unique<bundle::bundle_view>(content, 1);
  tests::Accept(scene.state,
                tests::MakeSpec("urgent", "customer-0", "class-0",
                                {.processor_milli = 500L * Draw(1, 6),
                                 .memory_mib = 500L * Draw(1, 6)},
                                Draw(1, 4)));
  for (int index = 0; index < 3; ++index) {
    tests::Accept(scene.state,
                  tests::MakeSpec("filler-" + std::to_string(index),
                                  "customer-0", "filler",
                                  {.processor_milli = 500L * Draw(0, 3),
                                   .memory_mib = 500L * Draw(1, 3)},
                                  Draw(5, 30)));
  }
  const auto first =
      PlanBindings(scene.state, scene.candidates, *scene.policy, kAll);
  for (const auto& binding : first) {
    if (binding.id().job() != "urgent") tests::Apply(scene.state, binding);
  }
  const auto rest = PlanBindings(scene.state, scene.candidates, *scene.policy,
                                 kAll, {.is_due = nullptr});
  for (const auto& binding : rest) {
    if (binding.id().job() != "urgent" || Draw(0, 1) == 0)
      tests::Apply(scene.state, binding);
  }
  return scene;
}

const job_record& JobOf(const planning_scenario& scene,
                        const schema::attempt_id& id) {
  return *scene.state.FindJob(id.job());
}

const schema::batch_class_policy& ClassOf(const planning_scenario& scene,
                                          const job_record& job) {
  return *scene.policy->FindBatchClass(job.spec.batch_class());
}

const candidate_worker& WorkerNamed(const planning_scenario& scene,
                                    const std::string& id) {
  return *std::find_if(
      scene.candidates.begin(), scene.candidates.end(),
      [&id](const candidate_worker& item) { return item.info->id == id; });
}

// Guards against more evictions than an urgent task needs.
TEST_CASE("the fewest and earliest bound victims are chosen",
          "[shard][preemption]") {
  rc::prop("the choice equals that of a trial of all subsets", [] {
    const auto sizes = DrawSizes(Draw(0, 8));
    const core::resources deficit{.processor_milli = Draw(-3, 20),
                                  .memory_mib = Draw(-3, 20),
                                  .accelerators = Draw(-1, 3)};
    RC_PRE(!core::resources{}.Holds(deficit));
    RC_ASSERT(detail::FewestCovering(sizes, deficit, kAll) ==
              BestByTrial(sizes, deficit));
  });
  rc::prop("no victim of a large search could be left out", [] {
    const auto sizes = DrawSizes(64);
    const core::resources deficit{.processor_milli = Draw(100, 200),
                                  .memory_mib = Draw(100, 200),
                                  .accelerators = Draw(0, 40)};
    const auto chosen = detail::FewestCovering(sizes, deficit, kAll);
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

// Guards against evictions outside the bundle's rules, and against evictions
// that leave the urgent task without a place.
TEST_CASE("preemption keeps to the bundle and makes room",
          "[shard][preemption]") {
  rc::prop("victims are lower, preemptible and on the held worker", [] {
    const planning_scenario scene = DrawFullScene();
    std::set<std::string> victims;
    const auto planned = PlanPreemptions(scene.state, scene.candidates,
                                         *scene.policy, Draw(0, 6));
    RC_CLASSIFY(!planned.empty(), "some preemption");
    for (const preemption& item : planned) {
      const auto& urgent = ClassOf(scene, *scene.state.FindJob(item.held.job));
      RC_ASSERT(urgent.urgent());
      for (const auto& id : item.victims) {
        const auto& batch_class = ClassOf(scene, JobOf(scene, id));
        RC_ASSERT(batch_class.preemptible());
        RC_ASSERT(batch_class.priority() < urgent.priority());
        RC_ASSERT(JobOf(scene, id).active.at(id.task()).worker ==
                  item.held.worker);
        RC_ASSERT(victims.insert(id.SerializeAsString()).second);
      }
    }
  });

  rc::prop("the task has its place once the victims have ended", [] {
    planning_scenario scene = DrawFullScene();
    const auto planned =
        PlanPreemptions(scene.state, scene.candidates, *scene.policy, kAll);
    std::vector<held_capacity> held;
    std::map<std::string, std::size_t> wanted;
    for (const preemption& item : planned) {
      held.push_back(item.held);
      ++wanted[item.held.job + " on " + item.held.worker];
      for (const auto& id : item.victims)
        tests::End(scene.state, id, schema::ATTEMPT_OUTCOME_EVICTED);
    }
    const auto bindings = PlanBindings(scene.state, scene.candidates,
                                       *scene.policy, kAll, {.held = held});
    planning_oracle ledger(scene);
    std::map<std::string, std::size_t> got;
    for (const auto& binding : bindings) {
      RC_ASSERT(ledger.Allows(*ledger.State().FindJob(binding.id().job()),
                              WorkerNamed(scene, binding.worker())));
      RC_ASSERT(ledger.Apply(binding));
      ++got[binding.id().job() + " on " + binding.worker()];
    }
    for (const auto& [place, count] : wanted) RC_ASSERT(got[place] >= count);
  });

  rc::prop("no victim of a task could be spared", [] {
    const planning_scenario scene = DrawFullScene();
    const auto planned =
        PlanPreemptions(scene.state, scene.candidates, *scene.policy, 1);
    if (planned.empty()) return;
    const job_record& job = *scene.state.FindJob(planned[0].held.job);
    const candidate_worker& worker = WorkerNamed(scene, planned[0].held.worker);
    for (std::size_t spared = 0; spared < planned[0].victims.size(); ++spared) {
      planning_scenario fewer;
      fewer.policy =
          std::make_unique<bundle::bundle_view>(scene.policy->Content(), 1);
      fewer.state = scene.state;
      fewer.candidates = scene.candidates;
      for (std::size_t index = 0; index < planned[0].victims.size(); ++index) {
        if (index == spared) continue;
        tests::End(fewer.state, planned[0].victims[index],
                   schema::ATTEMPT_OUTCOME_EVICTED);
      }
      RC_ASSERT(!planning_oracle(fewer).Allows(job, worker));
    }
  });

  rc::prop("an urgent task is left only if no worker could be cleared", [] {
    const planning_scenario scene = DrawFullScene();
    const auto planned =
        PlanPreemptions(scene.state, scene.candidates, *scene.policy, 1);
    if (!planned.empty()) return;
    const job_record& job = *scene.state.FindJob("urgent");
    for (const candidate_worker& worker : scene.candidates) {
      planning_scenario cleared;
      cleared.policy =
          std::make_unique<bundle::bundle_view>(scene.policy->Content(), 1);
      cleared.state = scene.state;
      cleared.candidates = scene.candidates;
      if (scene.state.Quarantined().contains(worker.info->id)) continue;
      for (const auto& [id, other] : scene.state.Jobs()) {
        const auto& batch_class = ClassOf(scene, other);
        const bool lower =
            batch_class.priority() < ClassOf(scene, job).priority();
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
      const planning_oracle ledger(cleared);
      const bool quota = planning_oracle(scene).IsWithinQuota(job);
      RC_ASSERT(!job.HasUnboundTask() || !quota || !ledger.Allows(job, worker));
    }
  });
}

// Guards against a second round of evictions while the first is under way.
TEST_CASE("held and ending work is taken into account", "[shard][preemption]") {
  rc::prop("planning again adds nothing", [] {
    const planning_scenario scene = DrawFullScene();
    const auto planned =
        PlanPreemptions(scene.state, scene.candidates, *scene.policy, kAll);
    std::vector<held_capacity> held;
    std::set<std::string> ending;
    for (const preemption& item : planned) {
      held.push_back(item.held);
      for (const auto& id : item.victims) ending.insert(id.SerializeAsString());
    }
    const auto is_ending = [&ending](const schema::attempt_id& id) {
      return ending.contains(id.SerializeAsString());
    };
    RC_ASSERT(PlanPreemptions(scene.state, scene.candidates, *scene.policy,
                              kAll, {.held = held, .is_ending = is_ending})
                  .empty());
  });

  rc::prop("planning one task at a time gives the same evictions", [] {
    const planning_scenario scene = DrawFullScene();
    const auto at_once =
        PlanPreemptions(scene.state, scene.candidates, *scene.policy, kAll);
    std::vector<held_capacity> held;
    std::set<std::string> ending;
    const auto is_ending = [&ending](const schema::attempt_id& id) {
      return ending.contains(id.SerializeAsString());
    };
    for (const preemption& expected : at_once) {
      const auto next =
          PlanPreemptions(scene.state, scene.candidates, *scene.policy, 1,
                          {.held = held, .is_ending = is_ending});
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
