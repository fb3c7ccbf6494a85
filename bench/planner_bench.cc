// Measures one planning pass over a shard with running and pending tasks.
#include <benchmark/benchmark.h>

#include <random>
#include <string>
#include <vector>

#include "waxwingfront/shard/planner.h"

namespace waxwingfront::shard {
namespace {

constexpr int kCustomers = 8;
constexpr int kTasksPerJob = 10;
constexpr int kWorkersPerRack = 6;
constexpr std::uint32_t kSeed = 20261204;
constexpr std::size_t kMaxBindings = 512;

schema::bundle MakeBundle() {
  schema::bundle content;
  content.set_site("bench");
  for (int index = 0; index < 3; ++index) {
    auto& item = *content.add_batch_classes();
    item.set_name("class-" + std::to_string(index));
    item.set_priority(index);
    item.set_host_share_percent(80);
    item.set_max_failures(3);
    item.set_preemptible(true);
  }
  auto& service = *content.add_services();
  service.set_name("dispatch");
  service.mutable_reserve_per_executor()->set_processor_milli(4000);
  service.mutable_reserve_per_executor()->set_memory_mib(8000);
  for (int index = 0; index < kCustomers; ++index) {
    auto& customer = *content.add_customers();
    customer.set_name("customer-" + std::to_string(index));
    customer.set_weight(1 + index % 3);
  }
  return content;
}

// A shard with `workers` workers and `tasks` tasks, in jobs of ten equal tasks.
// Two thirds of the tasks are bound, as far as they fit.
struct planning_input {
  planning_input(int workers, int tasks) : policy(MakeBundle(), 1) {
    for (int index = 0; index < workers; ++index) AddWorker(index);
    for (const hosts::worker_info& info : infos)
      candidates.push_back({.info = &info});
    std::mt19937 random(kSeed);
    for (int job = 0; job * kTasksPerJob < tasks; ++job) AddJob(job, random);
    while (bound < tasks * 2 / 3) {
      const auto bindings = PlanBindings(
          state, candidates, policy,
          std::min<std::size_t>(kMaxBindings, tasks * 2 / 3 - bound));
      if (bindings.empty()) break;
      for (const auto& binding : bindings) {
        schema::decision decision;
        *decision.mutable_bound() = binding;
        static_cast<void>(state.Apply(decision));
        ++bound;
      }
    }
  }

  void AddWorker(int index) {
    hosts::worker_info info{
        .id = "worker-" + std::to_string(index),
        .failure_domain = "north",
        .rack = std::to_string(index / kWorkersPerRack),
        .shard = "north/0",
        .capacity = {
            .processor_milli = 32000, .memory_mib = 128000, .accelerators = 2}};
    info.executors["dispatch"] = 1;
    infos.push_back(info);
  }

  void AddJob(int index, std::mt19937& random) {
    schema::decision decision;
    schema::job_spec& spec = *decision.mutable_accepted()->mutable_spec();
    spec.set_id("job-" + std::to_string(index));
    spec.set_customer("customer-" + std::to_string(random() % kCustomers));
    spec.set_batch_class("class-" + std::to_string(random() % 3));
    spec.set_task_count(kTasksPerJob);
    spec.mutable_task_size()->set_processor_milli(500 + 250 * (random() % 8));
    spec.mutable_task_size()->set_memory_mib(500 + 500 * (random() % 12));
    static_cast<void>(state.Apply(decision));
  }

  bundle::bundle_view policy;
  std::vector<hosts::worker_info> infos;
  std::vector<candidate_worker> candidates;
  shard_state state;
  int bound = 0;
};

void PlanningPass(benchmark::State& run) {
  const planning_input input(static_cast<int>(run.range(0)),
                             static_cast<int>(run.range(1)));
  std::size_t planned = 0;
  for (auto unused : run) {
    const auto bindings =
        PlanBindings(input.state, input.candidates, input.policy, kMaxBindings);
    planned = bindings.size();
    benchmark::DoNotOptimize(planned);
  }
  run.counters["bound_before"] = input.bound;
  run.counters["bindings"] = static_cast<double>(planned);
}
BENCHMARK(PlanningPass)
    ->ArgNames({"workers", "tasks"})
    ->Args({42, 720})
    ->ArgsProduct({{42, 100, 400, 1700}, {1000, 5000, 30000}})
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace waxwingfront::shard

BENCHMARK_MAIN();
