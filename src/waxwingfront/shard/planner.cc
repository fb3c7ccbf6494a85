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

// A worker with what is left on it during one planning pass.
struct open_worker {
  const hosts::worker_info* info = nullptr;
  core::resources free;
  bool probe = false;
  // Sizes bound on the worker, by index of the batch class.
  std::vector<core::resources> by_class;
};

// A batch class with what one pass has found out about it.
struct open_class {
  const schema::batch_class_policy* policy = nullptr;
  // By index of the worker.
  std::vector<bool> permitted;
  // Sizes that fit nowhere. Free capacity only shrinks during a pass, so a task
  // at least as large as one of them need not be tried.
  std::vector<core::resources> too_large;
};

struct open_customer {
  const schema::customer_policy* policy = nullptr;
  core::resources use;
  core::resources quota;
};

// The position in a job at which its tasks are taken: either those that failed
// before, or all others.
struct open_job {
  const job_record* record = nullptr;
  std::size_t batch_class = 0;
  open_customer* customer = nullptr;
  bool retries = false;
  std::map<std::int64_t, waiting_task>::const_iterator next_waiting;
  std::int64_t next_task = 0;

  bool HasTask() const {
    return next_waiting != record->waiting.end() ||
           (!retries && next_task < record->spec.task_count());
  }
};

// Jobs of one customer in one priority, oldest first.
struct customer_queue {
  std::deque<open_job> jobs;
  // Retries beyond the budget, bound after the first attempts.
  std::deque<open_job> deferred;
};

using priority_level = std::map<open_customer*, customer_queue>;

class planning_pass {
 public:
  planning_pass(const shard_state& state,
                std::span<const candidate_worker> workers,
                const bundle::bundle_view& policy, std::size_t limit,
                const planning_hooks& hooks)
      : state_(state), policy_(policy), limit_(limit), hooks_(hooks) {
    AddClasses();
    AddWorkers(workers);
    AddJobs();
  }

  std::vector<schema::attempt_bound> Run() {
    PlaceHeld();
    for (auto& [priority, level] : TakeLevels()) {
      FillLevel(level);
    }
    return std::move(bindings_);
  }

 private:
  using job_kinds = std::map<std::int32_t, priority_level, std::greater<>>;

  void AddClasses() {
    for (const auto& item : policy_.Content().batch_classes()) {
      class_index_.emplace(&item, classes_.size());
      classes_.push_back({.policy = &item});
    }
  }

  bool IsOpen(const candidate_worker& candidate) const {
    if (candidate.info->leaving) return false;
    if (!state_.Quarantined().contains(candidate.info->id)) return true;
    return candidate.probe &&
           state_.CommittedTo(candidate.info->id) == core::resources{};
  }

  void AddWorkers(std::span<const candidate_worker> workers) {
    workers_.reserve(workers.size());
    for (const candidate_worker& candidate : workers) {
      if (!IsOpen(candidate)) continue;
      open_worker worker{
          .info = candidate.info,
          .free = BatchCapacity(*candidate.info, policy_),
          .probe = state_.Quarantined().contains(candidate.info->id)};
      worker.free -= state_.CommittedTo(candidate.info->id);
      worker.free -= candidate.unaccounted;
      worker.by_class.resize(classes_.size());
      if (!worker.probe) capacity_ += candidate.info->capacity;
      workers_.push_back(std::move(worker));
    }
    // The order of the candidates does not change the plan.
    std::sort(workers_.begin(), workers_.end(),
              [](const open_worker& left, const open_worker& right) {
                return left.info->id < right.info->id;
              });
    for (std::size_t index = 0; index < workers_.size(); ++index) {
      worker_index_.emplace(workers_[index].info->id, index);
    }
    for (const held_capacity& held : hooks_.held) {
      if (open_worker* worker = FindWorker(held.worker)) {
        worker->free -= held.size;
      }
    }
    for (open_class& item : classes_) AddPermissions(item);
    for (std::size_t index = 0; index < workers_.size(); ++index) {
      by_free_.insert(FreeKey(index));
    }
  }

  void AddPermissions(open_class& item) {
    for (const open_worker& worker : workers_) {
      // An urgent task does not wait for the outcome of a probe.
      const bool usable = !worker.probe || !item.policy->urgent();
      item.permitted.push_back(usable &&
                               IsPermitted(*worker.info, *item.policy));
    }
  }

  open_worker* FindWorker(std::string_view id) {
    const auto found = worker_index_.find(id);
    return found == worker_index_.end() ? nullptr : &workers_[found->second];
  }

  void AddJobs() {
    std::map<std::string_view, open_customer*> known;
    for (const std::string& id : state_.OpenJobs()) {
      const job_record* record = state_.FindJob(id);
      const auto* batch_class =
          policy_.FindBatchClass(record->spec.batch_class());
      if (batch_class == nullptr) continue;
      const std::size_t index = class_index_.at(batch_class);
      for (const auto& [task, bound] : record->active) {
        if (open_worker* worker = FindWorker(bound.worker)) {
          worker->by_class[index] += record->task_size;
        }
      }
      if (!record->HasUnboundTask()) continue;
      const auto [customer, added] =
          known.try_emplace(record->spec.customer(), nullptr);
      if (added) customer->second = AddCustomer(record->spec.customer());
      if (customer->second == nullptr) continue;
      open_job job{
          .record = record, .batch_class = index, .customer = customer->second};
      for (const bool retries : {true, false}) {
        if (retries && record->waiting.empty()) continue;
        job.retries = retries;
        job.next_waiting = record->waiting.begin();
        job.next_task = record->next_task;
        SkipWaiting(job);
        if (job.HasTask()) jobs_.push_back(job);
      }
    }
    std::stable_sort(jobs_.begin(), jobs_.end(),
                     [](const open_job& left, const open_job& right) {
                       return left.record->order < right.record->order;
                     });
  }

  open_customer* AddCustomer(const std::string& name) {
    const schema::customer_policy* policy = policy_.FindCustomer(name);
    if (policy == nullptr) return nullptr;
    customers_.push_back({.policy = policy,
                          .use = state_.CommittedFor(name),
                          .quota = core::FromSchema(policy->quota())});
    return &customers_.back();
  }

  // Moves to the next waiting task that `job` may bind.
  void SkipWaiting(open_job& job) const {
    const auto end = job.record->waiting.end();
    while (job.next_waiting != end && !IsTaken(job)) ++job.next_waiting;
  }

  bool IsTaken(const open_job& job) const {
    const std::int64_t task = job.next_waiting->first;
    if (job.record->failures.contains(task) != job.retries) return false;
    return !hooks_.is_due || hooks_.is_due(job.record->spec.id(), task);
  }

  void PlaceHeld() {
    for (const held_capacity& held : hooks_.held) {
      open_worker* worker = FindWorker(held.worker);
      if (worker == nullptr || worker->probe || bindings_.size() >= limit_)
        continue;
      const auto job = std::find_if(
          jobs_.begin(), jobs_.end(), [&held](const open_job& item) {
            return item.record->spec.id() == held.job && item.HasTask();
          });
      if (job == jobs_.end() || !IsWithinQuota(*job)) continue;
      const std::size_t index = worker_index_.at(held.worker);
      by_free_.erase(FreeKey(index));
      worker->free += held.size;
      if (Fits(*job, index)) {
        Bind(*job, index);
      } else {
        worker->free -= held.size;
        by_free_.insert(FreeKey(index));
      }
    }
  }

  job_kinds TakeLevels() {
    job_kinds levels;
    for (open_job& job : jobs_) {
      if (!job.HasTask()) continue;
      const auto priority = classes_[job.batch_class].policy->priority();
      levels[priority][job.customer].jobs.push_back(job);
    }
    return levels;
  }

  // Key in the order in which customers' jobs are taken.
  using turn = std::tuple<double, std::uint64_t, open_customer*>;

  turn TurnOf(open_customer* customer, const customer_queue& queue) const {
    const double share = DominantShare(customer->use, capacity_) /
                         std::max(1, customer->policy->weight());
    return {share, queue.jobs.front().record->order, customer};
  }

  void FillLevel(priority_level& level) {
    first_attempts_ = 0;
    retries_ = 0;
    retries_limited_ = true;
    TakeTurns(level);
    retries_limited_ = false;
    for (auto& [customer, queue] : level) queue.jobs.swap(queue.deferred);
    TakeTurns(level);
  }

  void TakeTurns(priority_level& level) {
    std::set<turn> turns;
    for (auto& [customer, queue] : level) {
      if (!queue.jobs.empty()) turns.insert(TurnOf(customer, queue));
    }
    while (!turns.empty() && bindings_.size() < limit_) {
      open_customer* customer = std::get<open_customer*>(*turns.begin());
      turns.erase(turns.begin());
      customer_queue& queue = level[customer];
      TakeTask(queue);
      if (!queue.jobs.empty()) turns.insert(TurnOf(customer, queue));
    }
  }

  // Binds one task of the first job, or takes the job out of the pass.
  void TakeTask(customer_queue& queue) {
    open_job& job = queue.jobs.front();
    if (job.retries && retries_limited_ && !IsRetryWithinBudget()) {
      queue.deferred.push_back(job);
      queue.jobs.pop_front();
      return;
    }
    const std::size_t worker =
        IsWithinQuota(job) ? ChooseWorker(job) : kNoWorker;
    if (worker == kNoWorker) {
      // Nothing holds this job's tasks now; the jobs behind it go on.
      queue.jobs.pop_front();
      return;
    }
    by_free_.erase(FreeKey(worker));
    Bind(job, worker);
    ++(job.retries ? retries_ : first_attempts_);
    if (!job.HasTask()) queue.jobs.pop_front();
  }

  bool IsRetryWithinBudget() const {
    if (retries_ == 0) return true;
    return (retries_ + 1) * kFullPercent <=
           (first_attempts_ + retries_ + 1) * kRetryPercent;
  }

  bool IsWithinQuota(const open_job& job) const {
    if (!job.customer->policy->has_quota()) return true;
    return job.customer->quota.Holds(job.customer->use + job.record->task_size);
  }

  bool Fits(const open_job& job, std::size_t index) const {
    const open_worker& worker = workers_[index];
    const open_class& item = classes_[job.batch_class];
    if (!item.permitted[index]) return false;
    if (!worker.free.Holds(job.record->task_size)) return false;
    const core::resources share =
        worker.info->capacity.Percent(item.policy->host_share_percent());
    return share.Holds(worker.by_class[job.batch_class] +
                       job.record->task_size);
  }

  // The worker with the most processors left, so that load spreads and services
  // meet less batch work; a probe comes last.
  std::size_t ChooseWorker(const open_job& job) {
    const core::resources& size = job.record->task_size;
    std::vector<core::resources>& too_large =
        classes_[job.batch_class].too_large;
    for (const core::resources& failed : too_large) {
      if (size.Holds(failed)) return kNoWorker;
    }
    auto item = by_free_.begin();
    while (item != by_free_.end()) {
      const auto& [probe, free_negated, index] = *item;
      if (-free_negated < size.processor_milli) {
        if (probe) break;
        item = by_free_.lower_bound(kFirstProbe);
        continue;
      }
      if (Fits(job, index)) return index;
      ++item;
    }
    std::erase_if(too_large, [&size](const core::resources& other) {
      return other.Holds(size);
    });
    too_large.push_back(size);
    return kNoWorker;
  }

  // `worker` must be out of `by_free_`; a probe stays out of it.
  void Bind(open_job& job, std::size_t index) {
    open_worker& worker = workers_[index];
    schema::attempt_bound& binding = bindings_.emplace_back();
    schema::attempt_id& id = *binding.mutable_id();
    id.set_job(job.record->spec.id());
    if (job.next_waiting != job.record->waiting.end()) {
      id.set_task(job.next_waiting->first);
      id.set_attempt(job.next_waiting->second.attempts + 1);
      ++job.next_waiting;
      SkipWaiting(job);
    } else {
      id.set_task(job.next_task++);
      id.set_attempt(1);
    }
    binding.set_worker(worker.info->id);
    binding.set_bundle_version(policy_.Version());
    worker.free -= job.record->task_size;
    worker.by_class[job.batch_class] += job.record->task_size;
    job.customer->use += job.record->task_size;
    if (!worker.probe) by_free_.insert(FreeKey(index));
  }

  // Healthy workers before probes, then by free processors, then by id.
  using free_key = std::tuple<bool, std::int64_t, std::size_t>;
  static constexpr free_key kFirstProbe{
      true, std::numeric_limits<std::int64_t>::min(), 0};
  static constexpr std::size_t kNoWorker =
      std::numeric_limits<std::size_t>::max();

  free_key FreeKey(std::size_t index) const {
    const open_worker& worker = workers_[index];
    return {worker.probe, -worker.free.processor_milli, index};
  }

  const shard_state& state_;
  const bundle::bundle_view& policy_;
  std::size_t limit_;
  const planning_hooks& hooks_;
  std::vector<open_class> classes_;
  std::unordered_map<const schema::batch_class_policy*, std::size_t>
      class_index_;
  std::vector<open_worker> workers_;
  std::unordered_map<std::string_view, std::size_t> worker_index_;
  std::set<free_key> by_free_;
  // Stable addresses, since jobs point to their customers.
  std::deque<open_customer> customers_;
  std::vector<open_job> jobs_;
  core::resources capacity_;
  std::vector<schema::attempt_bound> bindings_;
  // Bindings in the current priority.
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
    const planning_hooks& hooks) {
  return planning_pass(state, workers, policy, limit, hooks).Run();
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
