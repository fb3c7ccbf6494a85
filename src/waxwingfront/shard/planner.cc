#include "waxwingfront/shard/planner.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace waxwingfront::shard {
namespace {

constexpr int kFullPercent = 100;

// State of one worker during a planning pass.
struct worker_state {
  const hosts::worker_info* info = nullptr;
  core::resources free;
  bool probe = false;
  // Total size of the tasks bound to the worker, by index of the batch class.
  std::vector<core::resources> by_class;
};

// State of one batch class during a planning pass.
struct class_state {
  const schema::batch_class_policy* policy = nullptr;
  // Whether the class may run on a worker, by index of the worker.
  std::vector<bool> permitted;
  // Task sizes without a feasible placement. Free capacity only shrinks during
  // a pass, so a task at least as large as one of them need not be tried.
  std::vector<core::resources> unplaceable_sizes;
};

struct customer_state {
  const schema::customer_policy* policy = nullptr;
  core::resources use;
  core::resources quota;
};

// Iterates over the unbound tasks of a job: if `retries`, over those that
// failed before, otherwise over all others.
struct job_cursor {
  const job_record* record = nullptr;
  std::size_t batch_class = 0;
  customer_state* customer = nullptr;
  bool retries = false;
  std::map<std::int64_t, waiting_task>::const_iterator next_waiting;
  std::int64_t next_task = 0;

  bool HasTask() const {
    return next_waiting != record->waiting.end() ||
           (!retries && next_task < record->spec.task_count());
  }
};

// Jobs of one customer at one priority, oldest first.
struct customer_queue {
  std::deque<job_cursor> jobs;
  // Jobs whose retries exceed the retry budget; they are bound after the first
  // attempts.
  std::deque<job_cursor> deferred;
};

using priority_level = std::map<customer_state*, customer_queue>;

class planning_pass {
 public:
  planning_pass(const shard_state& state,
                std::span<const candidate_worker> workers,
                const bundle::bundle_view& policy, std::size_t limit,
                const planning_inputs& inputs)
      : state_(state), policy_(policy), limit_(limit), inputs_(inputs) {
    AddClasses();
    AddWorkers(workers);
    AddJobs();
  }

  std::vector<schema::attempt_bound> Run() {
    BindHeldCapacity();
    for (auto& [priority, level] : GroupByPriority()) {
      PlanPriority(level);
    }
    return std::move(bindings_);
  }

 private:
  using priority_levels =
      std::map<std::int32_t, priority_level, std::greater<>>;

  void AddClasses() {
    for (const auto& item : policy_.Content().batch_classes()) {
      class_index_.emplace(&item, classes_.size());
      classes_.push_back({.policy = &item});
    }
  }

  bool IsUsable(const candidate_worker& candidate) const {
    if (candidate.info->leaving) return false;
    if (!state_.Quarantined().contains(candidate.info->id)) return true;
    return candidate.probe &&
           state_.CommittedToWorker(candidate.info->id) == core::resources{};
  }

  void AddWorkers(std::span<const candidate_worker> workers) {
    workers_.reserve(workers.size());
    for (const candidate_worker& candidate : workers) {
      if (!IsUsable(candidate)) continue;
      worker_state worker{
          .info = candidate.info,
          .free = BatchCapacity(*candidate.info, policy_),
          .probe = state_.Quarantined().contains(candidate.info->id)};
      worker.free -= state_.CommittedToWorker(candidate.info->id);
      worker.free -= candidate.unaccounted;
      worker.by_class.resize(classes_.size());
      if (!worker.probe) capacity_ += candidate.info->capacity;
      workers_.push_back(std::move(worker));
    }
    // Sorted so that the order of the candidates does not affect the plan.
    std::sort(workers_.begin(), workers_.end(),
              [](const worker_state& left, const worker_state& right) {
                return left.info->id < right.info->id;
              });
    for (std::size_t index = 0; index < workers_.size(); ++index) {
      worker_index_.emplace(workers_[index].info->id, index);
    }
    for (const held_capacity& held : inputs_.held) {
      if (worker_state* worker = FindWorker(held.worker)) {
        worker->free -= held.size;
      }
    }
    for (class_state& item : classes_) AddPermissions(item);
    for (std::size_t index = 0; index < workers_.size(); ++index) {
      workers_by_free_.insert(FreeKey(index));
    }
  }

  void AddPermissions(class_state& item) {
    for (const worker_state& worker : workers_) {
      // Probes are not made with urgent tasks, which must not wait for the
      // outcome of a probe.
      const bool usable = !worker.probe || !item.policy->urgent();
      item.permitted.push_back(usable &&
                               IsPermitted(*worker.info, *item.policy));
    }
  }

  worker_state* FindWorker(std::string_view id) {
    const auto found = worker_index_.find(id);
    return found == worker_index_.end() ? nullptr : &workers_[found->second];
  }

  void AddJobs() {
    std::map<std::string_view, customer_state*> customers_by_name;
    for (const std::string& id : state_.OpenJobs()) {
      const job_record* record = state_.FindJob(id);
      const auto* batch_class =
          policy_.FindBatchClass(record->spec.batch_class());
      if (batch_class == nullptr) continue;
      const std::size_t index = class_index_.at(batch_class);
      for (const auto& [task, bound] : record->active) {
        if (worker_state* worker = FindWorker(bound.worker)) {
          worker->by_class[index] += record->task_size;
        }
      }
      if (!record->HasUnboundTask()) continue;
      const auto [customer, added] =
          customers_by_name.try_emplace(record->spec.customer(), nullptr);
      if (added) customer->second = AddCustomer(record->spec.customer());
      if (customer->second == nullptr) continue;
      job_cursor job{
          .record = record, .batch_class = index, .customer = customer->second};
      for (const bool retries : {true, false}) {
        if (retries && record->waiting.empty()) continue;
        job.retries = retries;
        job.next_waiting = record->waiting.begin();
        job.next_task = record->next_task;
        AdvanceToBindable(job);
        if (job.HasTask()) jobs_.push_back(job);
      }
    }
    std::stable_sort(jobs_.begin(), jobs_.end(),
                     [](const job_cursor& left, const job_cursor& right) {
                       return left.record->order < right.record->order;
                     });
  }

  customer_state* AddCustomer(const std::string& name) {
    const schema::customer_policy* policy = policy_.FindCustomer(name);
    if (policy == nullptr) return nullptr;
    customers_.push_back({.policy = policy,
                          .use = state_.CommittedToCustomer(name),
                          .quota = core::FromSchema(policy->quota())});
    return &customers_.back();
  }

  // Advances `job` to its next bindable waiting task.
  void AdvanceToBindable(job_cursor& job) const {
    const auto end = job.record->waiting.end();
    while (job.next_waiting != end && !IsBindable(job)) ++job.next_waiting;
  }

  bool IsBindable(const job_cursor& job) const {
    const std::int64_t task = job.next_waiting->first;
    if (job.record->failures.contains(task) != job.retries) return false;
    return !inputs_.is_due || inputs_.is_due(job.record->spec.id(), task);
  }

  void BindHeldCapacity() {
    for (const held_capacity& held : inputs_.held) {
      worker_state* worker = FindWorker(held.worker);
      if (worker == nullptr || worker->probe || bindings_.size() >= limit_)
        continue;
      const auto job = std::find_if(
          jobs_.begin(), jobs_.end(), [&held](const job_cursor& item) {
            return item.record->spec.id() == held.job && item.HasTask();
          });
      if (job == jobs_.end() || !IsWithinQuota(*job)) continue;
      const std::size_t index = worker_index_.at(held.worker);
      workers_by_free_.erase(FreeKey(index));
      worker->free += held.size;
      if (Fits(*job, index)) {
        Bind(*job, index);
      } else {
        worker->free -= held.size;
        workers_by_free_.insert(FreeKey(index));
      }
    }
  }

  priority_levels GroupByPriority() {
    priority_levels levels;
    for (job_cursor& job : jobs_) {
      if (!job.HasTask()) continue;
      const auto priority = classes_[job.batch_class].policy->priority();
      levels[priority][job.customer].jobs.push_back(job);
    }
    return levels;
  }

  // Sort key of the customers at one priority: weighted dominant share, then
  // order of the oldest job.
  using customer_key = std::tuple<double, std::uint64_t, customer_state*>;

  customer_key CustomerKey(customer_state* customer,
                           const customer_queue& queue) const {
    const double share = DominantShare(customer->use, capacity_) /
                         std::max(1, customer->policy->weight());
    return {share, queue.jobs.front().record->order, customer};
  }

  void PlanPriority(priority_level& level) {
    first_attempts_ = 0;
    retries_ = 0;
    retries_limited_ = true;
    BindInShareOrder(level);
    retries_limited_ = false;
    for (auto& [customer, queue] : level) queue.jobs.swap(queue.deferred);
    BindInShareOrder(level);
  }

  void BindInShareOrder(priority_level& level) {
    std::set<customer_key> customer_keys;
    for (auto& [customer, queue] : level) {
      if (!queue.jobs.empty())
        customer_keys.insert(CustomerKey(customer, queue));
    }
    while (!customer_keys.empty() && bindings_.size() < limit_) {
      customer_state* customer =
          std::get<customer_state*>(*customer_keys.begin());
      customer_keys.erase(customer_keys.begin());
      customer_queue& queue = level[customer];
      BindNextTask(queue);
      if (!queue.jobs.empty())
        customer_keys.insert(CustomerKey(customer, queue));
    }
  }

  // Binds one task of the first job. If that is not possible, defers the job or
  // removes it from the pass.
  void BindNextTask(customer_queue& queue) {
    job_cursor& job = queue.jobs.front();
    if (job.retries && retries_limited_ && !IsRetryWithinBudget()) {
      queue.deferred.push_back(job);
      queue.jobs.pop_front();
      return;
    }
    const std::size_t worker =
        IsWithinQuota(job) ? ChooseWorker(job) : kNoWorker;
    if (worker == kNoWorker) {
      // No feasible placement for this job; the next jobs are tried.
      queue.jobs.pop_front();
      return;
    }
    workers_by_free_.erase(FreeKey(worker));
    Bind(job, worker);
    ++(job.retries ? retries_ : first_attempts_);
    if (!job.HasTask()) queue.jobs.pop_front();
  }

  bool IsRetryWithinBudget() const {
    if (retries_ == 0) return true;
    return (retries_ + 1) * kFullPercent <=
           (first_attempts_ + retries_ + 1) * kRetryBudgetPercent;
  }

  bool IsWithinQuota(const job_cursor& job) const {
    if (!job.customer->policy->has_quota()) return true;
    return job.customer->quota.Holds(job.customer->use + job.record->task_size);
  }

  bool Fits(const job_cursor& job, std::size_t index) const {
    const worker_state& worker = workers_[index];
    const class_state& item = classes_[job.batch_class];
    if (!item.permitted[index]) return false;
    if (!worker.free.Holds(job.record->task_size)) return false;
    const core::resources share =
        worker.info->capacity.Percent(item.policy->host_share_percent());
    return share.Holds(worker.by_class[job.batch_class] +
                       job.record->task_size);
  }

  // Returns the feasible worker with the most free processors, so that load is
  // spread and batch work interferes less with services. Quarantined workers
  // are tried last.
  std::size_t ChooseWorker(const job_cursor& job) {
    const core::resources& size = job.record->task_size;
    std::vector<core::resources>& unplaceable_sizes =
        classes_[job.batch_class].unplaceable_sizes;
    for (const core::resources& failed : unplaceable_sizes) {
      if (size.Holds(failed)) return kNoWorker;
    }
    auto item = workers_by_free_.begin();
    while (item != workers_by_free_.end()) {
      const auto& [probe, free_negated, index] = *item;
      if (-free_negated < size.processor_milli) {
        if (probe) break;
        item = workers_by_free_.lower_bound(kFirstProbe);
        continue;
      }
      if (Fits(job, index)) return index;
      ++item;
    }
    std::erase_if(unplaceable_sizes, [&size](const core::resources& other) {
      return other.Holds(size);
    });
    unplaceable_sizes.push_back(size);
    return kNoWorker;
  }

  // The worker must not be in `workers_by_free_`. A quarantined worker stays
  // out of it, since it gets one probe only.
  void Bind(job_cursor& job, std::size_t index) {
    worker_state& worker = workers_[index];
    schema::attempt_bound& binding = bindings_.emplace_back();
    schema::attempt_id& id = *binding.mutable_id();
    id.set_job(job.record->spec.id());
    if (job.next_waiting != job.record->waiting.end()) {
      id.set_task(job.next_waiting->first);
      id.set_attempt(job.next_waiting->second.attempts + 1);
      ++job.next_waiting;
      AdvanceToBindable(job);
    } else {
      id.set_task(job.next_task++);
      id.set_attempt(1);
    }
    binding.set_worker(worker.info->id);
    binding.set_bundle_version(policy_.Version());
    worker.free -= job.record->task_size;
    worker.by_class[job.batch_class] += job.record->task_size;
    job.customer->use += job.record->task_size;
    if (!worker.probe) workers_by_free_.insert(FreeKey(index));
  }

  // Healthy workers before quarantined ones, then by descending free
  // processors, then by id.
  using free_key = std::tuple<bool, std::int64_t, std::size_t>;
  static constexpr free_key kFirstProbe{
      true, std::numeric_limits<std::int64_t>::min(), 0};
  static constexpr std::size_t kNoWorker =
      std::numeric_limits<std::size_t>::max();

  free_key FreeKey(std::size_t index) const {
    const worker_state& worker = workers_[index];
    return {worker.probe, -worker.free.processor_milli, index};
  }

  const shard_state& state_;
  const bundle::bundle_view& policy_;
  std::size_t limit_;
  const planning_inputs& inputs_;
  std::vector<class_state> classes_;
  std::unordered_map<const schema::batch_class_policy*, std::size_t>
      class_index_;
  std::vector<worker_state> workers_;
  std::unordered_map<std::string_view, std::size_t> worker_index_;
  std::set<free_key> workers_by_free_;
  // A deque keeps addresses stable, since jobs point to their customers.
  std::deque<customer_state> customers_;
  std::vector<job_cursor> jobs_;
  core::resources capacity_;
  std::vector<schema::attempt_bound> bindings_;
  // Numbers of bindings at the current priority.
  std::size_t first_attempts_ = 0;
  std::size_t retries_ = 0;
  bool retries_limited_ = true;
};

bool IsListedOrAll(const google::protobuf::RepeatedPtrField<std::string>& list,
                   std::string_view name) {
  return list.empty() ||
         std::find(list.begin(), list.end(), name) != list.end();
}

}  // namespace

std::vector<schema::attempt_bound> PlanBindings(
    const shard_state& state, std::span<const candidate_worker> workers,
    const bundle::bundle_view& policy, std::size_t limit,
    const planning_inputs& inputs) {
  return planning_pass(state, workers, policy, limit, inputs).Run();
}

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
