#include "support/planning_scenario.h"

#include <rapidcheck.h>

#include <algorithm>

namespace waxwingfront::tests {
namespace {

const std::vector<std::string> kDomains{"north", "south"};
const std::vector<std::string> kServices{"dispatch", "billing"};

// Uniform at every size, since the smallest sizes yield scenarios without a
// binding.
int Draw(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high + 1));
}

std::string Name(std::string_view kind, int index) {
  return std::string(kind) + "-" + std::to_string(index);
}

core::resources DrawSize(int scale) {
  return {.processor_milli = 500L * Draw(0, 3 * scale),
          .memory_mib = 500L * Draw(1, 3 * scale),
          .accelerators = Draw(0, 5) == 0 ? Draw(0, scale) : 0};
}

schema::bundle DrawBundle(const scenario_options& options) {
  schema::bundle content;
  for (const std::string& name : kServices) {
    auto& service = *content.add_services();
    service.set_name(name);
    *service.mutable_reserve_per_executor() = core::ToSchema(DrawSize(1));
  }
  const int classes = Draw(1, 4);
  for (int index = 0; index < classes; ++index) {
    auto& item = *content.add_batch_classes();
    item.set_name(Name("class", index));
    item.set_priority(options.plain_policy ? 0 : Draw(0, 2));
    item.set_host_share_percent(
        options.plain_policy || Draw(0, 1) == 0 ? 100 : Draw(10, 100));
    item.set_max_failures(Draw(1, 4));
    item.set_urgent(!options.plain_policy && Draw(0, 3) == 0);
    item.set_preemptible(Draw(0, 2) != 0);
    if (options.plain_policy) continue;
    if (Draw(0, 3) == 0) item.add_failure_domains(kDomains[Draw(0, 1)]);
    if (Draw(0, 3) == 0) item.add_shares_hosts_with(kServices[Draw(0, 1)]);
  }
  const int customers = Draw(1, 3);
  for (int index = 0; index < customers; ++index) {
    auto& customer = *content.add_customers();
    customer.set_name(Name("customer", index));
    customer.set_weight(Draw(1, 4));
    if (!options.plain_policy && Draw(0, 2) == 0) {
      *customer.mutable_quota() = core::ToSchema(DrawSize(4));
    }
  }
  return content;
}

// Capacity for about ten tasks.
core::resources DrawCapacity() {
  return {.processor_milli = 500L * Draw(4, 40),
          .memory_mib = 500L * Draw(4, 40),
          .accelerators = Draw(0, 4)};
}

hosts::worker_info DrawWorker(int index, const scenario_options& options) {
  hosts::worker_info info{.id = Name("worker", index),
                          .failure_domain = kDomains[Draw(0, 1)],
                          .shard = "north/0",
                          .capacity = DrawCapacity()};
  if (options.plain_policy) return info;
  info.leaving = Draw(0, 7) == 0;
  for (const std::string& service : kServices) {
    if (Draw(0, 3) == 0) info.executors[service] = Draw(1, 2);
  }
  return info;
}

// Binds and ends some tasks at random, regardless of the policy.
void DrawHistory(planning_scenario& scenario, const scenario_options& options) {
  const int steps = Draw(0, 20);
  for (int step = 0; step < steps; ++step) {
    const int job = Draw(0, static_cast<int>(scenario.state.Jobs().size()) - 1);
    const shard::job_record* record = scenario.state.FindJob(Name("job", job));
    if (!record->HasUnboundTask()) continue;
    schema::attempt_bound binding;
    binding.mutable_id()->set_job(record->spec.id());
    binding.mutable_id()->set_task(record->next_task);
    binding.mutable_id()->set_attempt(1);
    binding.set_worker(
        Name("worker", Draw(0, static_cast<int>(scenario.workers.size()))));
    if (!Apply(scenario.state, binding) || Draw(0, 1) == 0) continue;
    const bool fails = options.failures && Draw(0, 1) == 0;
    End(scenario.state, binding.id(),
        fails ? schema::ATTEMPT_OUTCOME_FAILED
              : schema::ATTEMPT_OUTCOME_EVICTED);
  }
}

bool IsListedOrEmpty(const google::protobuf::RepeatedPtrField<std::string>& all,
                     std::string_view name) {
  return all.empty() || std::count(all.begin(), all.end(), name) > 0;
}

}  // namespace

schema::job_spec MakeSpec(const std::string& id, const std::string& customer,
                          const std::string& batch_class,
                          core::resources task_size, std::int64_t task_count) {
  schema::job_spec spec;
  spec.set_id(id);
  spec.set_customer(customer);
  spec.set_batch_class(batch_class);
  spec.set_task_count(task_count);
  *spec.mutable_task_size() = core::ToSchema(task_size);
  return spec;
}

void Accept(shard::shard_state& state, const schema::job_spec& spec) {
  schema::decision decision;
  *decision.mutable_accepted()->mutable_spec() = spec;
  static_cast<void>(state.Apply(decision));
}

bool Apply(shard::shard_state& state, const schema::attempt_bound& binding) {
  schema::decision decision;
  *decision.mutable_bound() = binding;
  return state.Apply(decision).has_value();
}

void End(shard::shard_state& state, const schema::attempt_id& id,
         schema::attempt_outcome outcome) {
  schema::decision decision;
  *decision.mutable_ended()->mutable_id() = id;
  decision.mutable_ended()->set_outcome(outcome);
  static_cast<void>(state.Apply(decision));
}

planning_scenario GenerateScenario(const scenario_options& options) {
  planning_scenario scenario;
  schema::bundle content = DrawBundle(options);
  const int workers = Draw(1, 5);
  for (int index = 0; index < workers; ++index)
    scenario.workers.push_back(DrawWorker(index, options));
  const int jobs = Draw(2, 8);
  for (int index = 0; index < jobs; ++index) {
    const int customer = Draw(0, content.customers_size() - 1);
    const int batch_class = Draw(0, content.batch_classes_size() - 1);
    Accept(scenario.state,
           MakeSpec(Name("job", index), Name("customer", customer),
                    Name("class", batch_class), DrawSize(2), Draw(1, 12)));
  }
  DrawHistory(scenario, options);
  for (const hosts::worker_info& info : scenario.workers) {
    shard::candidate_worker candidate{.info = &info};
    if (!options.plain_policy && Draw(0, 3) == 0)
      candidate.unaccounted = DrawSize(1);
    if (!options.plain_policy && Draw(0, 6) == 0) {
      schema::decision decision;
      decision.mutable_quarantined()->set_worker(info.id);
      static_cast<void>(scenario.state.Apply(decision));
      candidate.probe = Draw(0, 1) == 0;
    }
    scenario.candidates.push_back(candidate);
  }
  scenario.policy =
      std::make_unique<bundle::bundle_view>(std::move(content), /*version=*/1);
  return scenario;
}

bool planning_oracle::Apply(const schema::attempt_bound& binding) {
  return tests::Apply(state_, binding);
}

core::resources planning_oracle::Used(std::string_view worker,
                                      std::string_view batch_class) const {
  core::resources used;
  for (const auto& [id, job] : state_.Jobs()) {
    if (!batch_class.empty() && job.spec.batch_class() != batch_class) continue;
    for (const auto& [task, bound] : job.active) {
      if (bound.worker == worker) used += job.task_size;
    }
  }
  return used;
}

core::resources planning_oracle::UsedBy(std::string_view customer) const {
  core::resources used;
  for (const auto& [id, job] : state_.Jobs()) {
    if (job.spec.customer() != customer) continue;
    for (std::size_t task = 0; task < job.active.size(); ++task)
      used += job.task_size;
  }
  return used;
}

bool planning_oracle::SharesHosts(
    const hosts::worker_info& worker,
    const schema::batch_class_policy& batch_class) const {
  return std::all_of(worker.executors.begin(), worker.executors.end(),
                     [&batch_class](const auto& item) {
                       return IsListedOrEmpty(batch_class.shares_hosts_with(),
                                              item.first);
                     });
}

bool planning_oracle::Allows(const shard::job_record& job,
                             const shard::candidate_worker& worker) const {
  const hosts::worker_info& info = *worker.info;
  const auto& batch_class =
      *scenario_.policy->FindBatchClass(job.spec.batch_class());
  if (info.leaving || !SharesHosts(info, batch_class)) return false;
  if (!IsListedOrEmpty(batch_class.failure_domains(), info.failure_domain))
    return false;
  if (state_.Quarantined().contains(info.id)) {
    const bool idle = Used(info.id, "") == core::resources{};
    if (!worker.probe || !idle || batch_class.urgent()) return false;
  }
  core::resources needed = job.task_size + worker.unaccounted;
  needed += Used(info.id, "");
  for (const auto& service : scenario_.policy->Content().services()) {
    const auto count = info.executors.find(service.name());
    if (count == info.executors.end()) continue;
    for (int executor = 0; executor < count->second; ++executor)
      needed += core::FromSchema(service.reserve_per_executor());
  }
  if (!info.capacity.Holds(needed)) return false;
  const core::resources of_class =
      job.task_size + Used(info.id, job.spec.batch_class());
  constexpr int kHundred = 100;
  const int share = batch_class.host_share_percent();
  return of_class.processor_milli * kHundred <=
             info.capacity.processor_milli * share &&
         of_class.memory_mib * kHundred <= info.capacity.memory_mib * share &&
         of_class.accelerators * kHundred <= info.capacity.accelerators * share;
}

bool planning_oracle::IsWithinQuota(const shard::job_record& job) const {
  const auto& customer = *scenario_.policy->FindCustomer(job.spec.customer());
  return !customer.has_quota() ||
         core::FromSchema(customer.quota())
             .Holds(job.task_size + UsedBy(job.spec.customer()));
}

bool planning_oracle::IsPlaceable(const shard::job_record& job) const {
  return job.HasUnboundTask() && IsWithinQuota(job) &&
         std::any_of(scenario_.candidates.begin(), scenario_.candidates.end(),
                     [&](const auto& worker) { return Allows(job, worker); });
}

double planning_oracle::WeightedShare(const shard::job_record& job) const {
  core::resources whole;
  for (const shard::candidate_worker& worker : scenario_.candidates) {
    const bool open = !worker.info->leaving &&
                      !state_.Quarantined().contains(worker.info->id);
    if (open) whole += worker.info->capacity;
  }
  return shard::DominantShare(UsedBy(job.spec.customer()), whole) /
         scenario_.policy->FindCustomer(job.spec.customer())->weight();
}

int planning_oracle::Priority(const shard::job_record& job) const {
  return scenario_.policy->FindBatchClass(job.spec.batch_class())->priority();
}

}  // namespace waxwingfront::tests
