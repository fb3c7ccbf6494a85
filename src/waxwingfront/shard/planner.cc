#include "waxwingfront/shard/planner.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace waxwingfront::shard {
namespace {

// A worker with what is left on it during one planning pass.
struct open_worker {
  const hosts::worker_info* info = nullptr;
  core::resources free;
  // Sizes bound on the worker, by batch class.
  std::map<std::string, core::resources, std::less<>> by_class;
};

// A job with a task to bind, and the position at which its tasks are taken.
struct open_job {
  const job_record* record = nullptr;
  const schema::batch_class_policy* batch_class = nullptr;
  const schema::customer_policy* customer = nullptr;
  std::map<std::int64_t, waiting_task>::const_iterator next_waiting;
  std::int64_t next_task = 0;

  bool HasTask() const {
    return next_waiting != record->waiting.end() ||
           next_task < record->spec.task_count();
  }
};

// The largest share that `part` takes of any kind of `whole`.
double DominantShare(const core::resources& part,
                     const core::resources& whole) {
  const auto share = [](std::int64_t some, std::int64_t all) {
    return all <= 0 ? 0.0
                    : static_cast<double>(some) / static_cast<double>(all);
  };
  return std::max({share(part.processor_milli, whole.processor_milli),
                   share(part.memory_mib, whole.memory_mib),
                   share(part.accelerators, whole.accelerators)});
}

class planning_pass {
 public:
  planning_pass(const shard_state& state,
                std::span<const candidate_worker> workers,
                const bundle::bundle_view& policy)
      : state_(state), policy_(policy) {
    AddWorkers(workers);
    AddJobs();
  }

  std::vector<schema::attempt_bound> Run(std::size_t limit) {
    std::vector<schema::attempt_bound> bindings;
    while (bindings.size() < limit) {
      open_job* job = NextJob();
      if (job == nullptr) break;
      open_worker* worker = ChooseWorker(*job);
      if (worker == nullptr) {
        // Nothing holds this job's tasks now; the jobs behind it go on.
        std::erase_if(jobs_,
                      [job](const open_job& other) { return &other == job; });
        continue;
      }
      bindings.push_back(Bind(*job, *worker));
    }
    return bindings;
  }

 private:
  void AddWorkers(std::span<const candidate_worker> workers) {
    for (const candidate_worker& candidate : workers) {
      open_worker worker{.info = candidate.info};
      worker.free = BatchCapacity(*candidate.info, policy_);
      worker.free -= state_.CommittedTo(candidate.info->id);
      worker.free -= candidate.unaccounted;
      capacity_ += candidate.info->capacity;
      workers_.emplace(candidate.info->id, std::move(worker));
    }
    for (const std::string& id : state_.OpenJobs())
      AddClassUse(*state_.FindJob(id));
  }

  void AddClassUse(const job_record& job) {
    for (const auto& [task, bound] : job.active) {
      const auto worker = workers_.find(bound.worker);
      if (worker != workers_.end()) {
        worker->second.by_class[job.spec.batch_class()] += job.task_size;
      }
    }
  }

  void AddJobs() {
    for (const std::string& id : state_.OpenJobs()) {
      const job_record* record = state_.FindJob(id);
      open_job job{
          .record = record,
          .batch_class = policy_.FindBatchClass(record->spec.batch_class()),
          .customer = policy_.FindCustomer(record->spec.customer()),
          .next_waiting = record->waiting.begin(),
          .next_task = record->next_task};
      const bool known = job.batch_class != nullptr && job.customer != nullptr;
      if (known && record->HasUnboundTask()) jobs_.push_back(job);
      use_[record->spec.customer()] =
          state_.CommittedFor(record->spec.customer());
    }
  }

  bool IsWithinQuota(const open_job& job) const {
    if (!job.customer->has_quota()) return true;
    const core::resources use = use_.find(job.customer->name())->second;
    return core::FromSchema(job.customer->quota())
        .Holds(use + job.record->task_size);
  }

  double WeightedShare(const open_job& job) const {
    const core::resources& use = use_.find(job.customer->name())->second;
    return DominantShare(use, capacity_) / std::max(1, job.customer->weight());
  }

  bool GoesBefore(const open_job& left, const open_job& right) const {
    if (left.batch_class->priority() != right.batch_class->priority()) {
      return left.batch_class->priority() > right.batch_class->priority();
    }
    const double left_share = WeightedShare(left);
    const double right_share = WeightedShare(right);
    if (left_share != right_share) return left_share < right_share;
    return left.record->order < right.record->order;
  }

  open_job* NextJob() {
    open_job* best = nullptr;
    for (open_job& job : jobs_) {
      if (!job.HasTask() || !IsWithinQuota(job)) continue;
      if (best == nullptr || GoesBefore(job, *best)) best = &job;
    }
    return best;
  }

  bool Fits(const open_job& job, const open_worker& worker) const {
    if (!IsPermitted(*worker.info, *job.batch_class)) return false;
    if (!worker.free.Holds(job.record->task_size)) return false;
    const auto used = worker.by_class.find(job.batch_class->name());
    const core::resources use =
        used == worker.by_class.end() ? core::resources{} : used->second;
    const core::resources share =
        worker.info->capacity.Percent(job.batch_class->host_share_percent());
    return share.Holds(use + job.record->task_size);
  }

  // The worker with the most processors left, so that load spreads and services
  // meet less batch work.
  open_worker* ChooseWorker(const open_job& job) {
    open_worker* best = nullptr;
    for (auto& [id, worker] : workers_) {
      if (!Fits(job, worker)) continue;
      const bool better = best == nullptr || worker.free.processor_milli >
                                                 best->free.processor_milli;
      if (better) best = &worker;
    }
    return best;
  }

  schema::attempt_bound Bind(open_job& job, open_worker& worker) {
    schema::attempt_bound binding;
    schema::attempt_id& id = *binding.mutable_id();
    id.set_job(job.record->spec.id());
    if (job.next_waiting != job.record->waiting.end()) {
      id.set_task(job.next_waiting->first);
      id.set_attempt(job.next_waiting->second.attempts + 1);
      ++job.next_waiting;
    } else {
      id.set_task(job.next_task++);
      id.set_attempt(1);
    }
    binding.set_worker(worker.info->id);
    binding.set_bundle_version(policy_.Version());
    worker.free -= job.record->task_size;
    worker.by_class[job.batch_class->name()] += job.record->task_size;
    use_[job.customer->name()] += job.record->task_size;
    return binding;
  }

  const shard_state& state_;
  const bundle::bundle_view& policy_;
  std::map<std::string, open_worker, std::less<>> workers_;
  std::vector<open_job> jobs_;
  std::map<std::string, core::resources, std::less<>> use_;
  core::resources capacity_;
};

bool IsListedOrAll(const google::protobuf::RepeatedPtrField<std::string>& list,
                   std::string_view name) {
  return list.empty() ||
         std::find(list.begin(), list.end(), name) != list.end();
}

}  // namespace

std::vector<schema::attempt_bound> PlanBindings(
    const shard_state& state, std::span<const candidate_worker> workers,
    const bundle::bundle_view& policy, std::size_t limit) {
  return planning_pass(state, workers, policy).Run(limit);
}

core::resources BatchCapacity(const hosts::worker_info& worker,
                              const bundle::bundle_view& policy) {
  core::resources capacity = worker.capacity;
  for (const auto& [service, count] : worker.executors) {
    const schema::service_policy* found = policy.FindService(service);
    if (found == nullptr) continue;
    const core::resources reserve =
        core::FromSchema(found->reserve_per_executor());
    for (int executor = 0; executor < count; ++executor) capacity -= reserve;
  }
  return capacity;
}

bool IsPermitted(const hosts::worker_info& worker,
                 const schema::batch_class_policy& batch_class) {
  if (!IsListedOrAll(batch_class.failure_domains(), worker.failure_domain))
    return false;
  for (const auto& [service, count] : worker.executors) {
    if (!IsListedOrAll(batch_class.shares_hosts_with(), service)) return false;
  }
  return true;
}

}  // namespace waxwingfront::shard
