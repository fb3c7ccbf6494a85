#include "waxwingfront/shard/preemption.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace waxwingfront::shard {
namespace {

// Limit on the steps of one search. A worker with 17 tasks and 4 victims takes
// about 2,400 steps.
constexpr int kMaxSearchSteps = 20000;

core::resources LargerOf(const core::resources& left,
                         const core::resources& right) {
  return {
      .processor_milli = std::max(left.processor_milli, right.processor_milli),
      .memory_mib = std::max(left.memory_mib, right.memory_mib),
      .accelerators = std::max(left.accelerators, right.accelerators)};
}

core::resources Times(const core::resources& size, std::size_t count) {
  const auto factor = static_cast<std::int64_t>(count);
  return {.processor_milli = size.processor_milli * factor,
          .memory_mib = size.memory_mib * factor,
          .accelerators = size.accelerators * factor};
}

// Depth-first search over ascending index lists of a fixed length.
class covering_search {
 public:
  explicit covering_search(std::span<const core::resources> sizes)
      : sizes_(sizes), largest_from_(sizes.size() + 1) {
    for (std::size_t index = sizes.size(); index > 0; --index) {
      largest_from_[index - 1] =
          LargerOf(largest_from_[index], sizes[index - 1]);
    }
  }

  bool Find(const core::resources& deficit, std::size_t count) {
    chosen_.clear();
    return Extend(deficit, 0, count);
  }
  bool IsExhausted() const { return steps_ >= kMaxSearchSteps; }
  const std::vector<std::size_t>& Chosen() const { return chosen_; }

 private:
  bool Extend(const core::resources& deficit, std::size_t from,
              std::size_t count) {
    if (core::resources{}.Holds(deficit)) return true;
    for (std::size_t index = from; index + count <= sizes_.size(); ++index) {
      if (count == 0 || IsExhausted()) return false;
      if (!Times(largest_from_[index], count).Holds(deficit)) return false;
      ++steps_;
      chosen_.push_back(index);
      if (Extend(deficit - sizes_[index], index + 1, count - 1)) return true;
      chosen_.pop_back();
    }
    return false;
  }

  std::span<const core::resources> sizes_;
  // Element i is the largest amount of each kind in `sizes_` from index i on.
  std::vector<core::resources> largest_from_;
  std::vector<std::size_t> chosen_;
  int steps_ = 0;
};

// Starts from all indices and removes superfluous ones, highest index first.
std::vector<std::size_t> CoverAndTrim(std::span<const core::resources> sizes,
                                      const core::resources& deficit) {
  core::resources sum;
  for (const core::resources& size : sizes) sum += size;
  std::vector<std::size_t> kept;
  for (std::size_t index = sizes.size(); index > 0; --index) {
    if ((sum - sizes[index - 1]).Holds(deficit)) {
      sum -= sizes[index - 1];
    } else {
      kept.insert(kept.begin(), index - 1);
    }
  }
  return kept;
}

struct victim {
  schema::attempt_id id;
  core::resources size;
  std::uint64_t order = 0;
  std::int32_t priority = 0;
  std::string_view batch_class;
};

struct target_worker {
  const hosts::worker_info* info = nullptr;
  // Capacity that is free or is being freed, less held capacity.
  core::resources free;
  // Preemptible attempts in the order in which they were bound.
  std::vector<victim> candidates;
  std::map<std::string, core::resources, std::less<>> by_class;
};

struct victim_choice {
  target_worker* chosen_worker = nullptr;
  // Ascending binding orders of the victims, and their positions in
  // `chosen_worker->candidates`.
  std::vector<std::uint64_t> orders;
  std::vector<std::size_t> positions;

  bool IsBetterThan(const victim_choice& other) const {
    if (orders.size() != other.orders.size())
      return orders.size() < other.orders.size();
    return orders < other.orders;
  }
};

class preemption_pass {
 public:
  preemption_pass(const shard_state& state,
                  std::span<const candidate_worker> workers,
                  const bundle::bundle_view& policy,
                  const preemption_inputs& inputs)
      : state_(state), workers_(workers), policy_(policy), inputs_(inputs) {}

  std::vector<preemption> Run(std::size_t limit) {
    std::vector<preemption> planned;
    const std::vector<const job_record*> urgent = UrgentJobs();
    // Most passes have no urgent task and need not inspect running attempts.
    if (urgent.empty()) return planned;
    AddTargets();
    AddRunning();
    SubtractHeld();
    for (const job_record* job : urgent) {
      std::int64_t remaining =
          UnboundTasks(*job) - held_by_job_[job->spec.id()];
      while (remaining-- > 0 && planned.size() < limit && IsWithinQuota(*job)) {
        const std::optional<victim_choice> best = ChooseWorker(*job);
        if (!best.has_value()) break;
        planned.push_back(Reserve(*job, *best));
      }
    }
    return planned;
  }

 private:
  static std::int64_t UnboundTasks(const job_record& job) {
    if (!job.HasUnboundTask()) return 0;
    return static_cast<std::int64_t>(job.waiting.size()) +
           job.spec.task_count() - job.next_task;
  }

  void AddTargets() {
    for (const candidate_worker& candidate : workers_) {
      const hosts::worker_info& info = *candidate.info;
      if (info.leaving || state_.Quarantined().contains(info.id)) continue;
      target_worker item{.info = &info, .free = BatchCapacity(info, policy_)};
      item.free -= state_.CommittedToWorker(info.id);
      item.free -= candidate.unaccounted;
      targets_.emplace(info.id, std::move(item));
    }
  }

  void AddRunning() {
    for (const std::string& id : state_.OpenJobs()) {
      const job_record& job = *state_.FindJob(id);
      for (const auto& [task, bound] : job.active) {
        const auto found = targets_.find(bound.worker);
        if (found != targets_.end())
          AddAttempt(job, task, bound, found->second);
      }
    }
    for (auto& [id, item] : targets_) {
      std::sort(item.candidates.begin(), item.candidates.end(),
                [](const victim& left, const victim& right) {
                  return left.order < right.order;
                });
    }
  }

  void AddAttempt(const job_record& job, std::int64_t task,
                  const bound_attempt& bound, target_worker& item) {
    schema::attempt_id id;
    id.set_job(job.spec.id());
    id.set_task(task);
    id.set_attempt(bound.attempt);
    if (inputs_.is_ending && inputs_.is_ending(id)) {
      item.free += job.task_size;
      return;
    }
    item.by_class[job.spec.batch_class()] += job.task_size;
    const auto* batch_class = policy_.FindBatchClass(job.spec.batch_class());
    if (batch_class == nullptr || !batch_class->preemptible()) return;
    item.candidates.push_back({.id = std::move(id),
                               .size = job.task_size,
                               .order = bound.order,
                               .priority = batch_class->priority(),
                               .batch_class = batch_class->name()});
  }

  void SubtractHeld() {
    for (const held_capacity& held : inputs_.held) {
      ++held_by_job_[held.job];
      const job_record* job = state_.FindJob(held.job);
      const auto found = targets_.find(held.worker);
      if (found != targets_.end()) found->second.free -= held.size;
      if (job == nullptr) continue;
      held_by_customer_[job->spec.customer()] += held.size;
      if (found != targets_.end())
        found->second.by_class[job->spec.batch_class()] += held.size;
    }
  }

  std::vector<const job_record*> UrgentJobs() const {
    std::vector<std::tuple<std::int32_t, std::uint64_t, const job_record*>>
        found;
    for (const std::string& id : state_.OpenJobs()) {
      const job_record* job = state_.FindJob(id);
      const auto* item = policy_.FindBatchClass(job->spec.batch_class());
      if (item == nullptr || !item->urgent() || !job->HasUnboundTask())
        continue;
      found.emplace_back(-item->priority(), job->order, job);
    }
    std::sort(found.begin(), found.end());
    std::vector<const job_record*> jobs;
    jobs.reserve(found.size());
    for (const auto& item : found)
      jobs.push_back(std::get<const job_record*>(item));
    return jobs;
  }

  bool IsWithinQuota(const job_record& job) {
    const auto* customer = policy_.FindCustomer(job.spec.customer());
    if (customer == nullptr) return false;
    if (!customer->has_quota()) return true;
    const core::resources use =
        state_.CommittedToCustomer(job.spec.customer()) +
        held_by_customer_[job.spec.customer()];
    return core::FromSchema(customer->quota()).Holds(use + job.task_size);
  }

  std::optional<victim_choice> ChooseWorker(const job_record& job) {
    const auto& batch_class = *policy_.FindBatchClass(job.spec.batch_class());
    std::optional<victim_choice> best;
    for (auto& [id, item] : targets_) {
      if (!IsPermitted(*item.info, batch_class)) continue;
      const core::resources share =
          item.info->capacity.Percent(batch_class.host_share_percent());
      if (!share.Holds(item.by_class[batch_class.name()] + job.task_size))
        continue;
      const std::size_t max_count =
          best.has_value() ? best->orders.size() : item.candidates.size();
      auto found = ChooseVictims(item, job, batch_class, max_count);
      if (!found.has_value()) continue;
      if (!best.has_value() || found->IsBetterThan(*best))
        best = std::move(found);
    }
    return best;
  }

  static std::optional<victim_choice> ChooseVictims(
      target_worker& item, const job_record& job,
      const schema::batch_class_policy& batch_class, std::size_t max_count) {
    victim_choice found{.chosen_worker = &item};
    if (item.free.Holds(job.task_size)) return found;
    std::vector<std::size_t> eligible;
    std::vector<core::resources> sizes;
    for (std::size_t index = 0; index < item.candidates.size(); ++index) {
      if (item.candidates[index].priority >= batch_class.priority()) continue;
      eligible.push_back(index);
      sizes.push_back(item.candidates[index].size);
    }
    for (const std::size_t index :
         detail::SmallestCover(sizes, job.task_size - item.free, max_count)) {
      found.positions.push_back(eligible[index]);
      found.orders.push_back(item.candidates[eligible[index]].order);
    }
    if (found.positions.empty()) return std::nullopt;
    return found;
  }

  preemption Reserve(const job_record& job, const victim_choice& best) {
    target_worker& item = *best.chosen_worker;
    preemption planned{.held = {.job = job.spec.id(),
                                .worker = item.info->id,
                                .size = job.task_size}};
    for (const std::size_t position : best.positions) {
      const victim& evicted = item.candidates[position];
      planned.victims.push_back(evicted.id);
      item.free += evicted.size;
      item.by_class.find(evicted.batch_class)->second -= evicted.size;
    }
    for (auto position = best.positions.rbegin();
         position != best.positions.rend(); ++position) {
      item.candidates.erase(item.candidates.begin() +
                            static_cast<std::ptrdiff_t>(*position));
    }
    item.free -= job.task_size;
    item.by_class[job.spec.batch_class()] += job.task_size;
    held_by_customer_[job.spec.customer()] += job.task_size;
    return planned;
  }

  const shard_state& state_;
  std::span<const candidate_worker> workers_;
  const bundle::bundle_view& policy_;
  const preemption_inputs& inputs_;
  std::map<std::string, target_worker, std::less<>> targets_;
  std::map<std::string, std::int64_t, std::less<>> held_by_job_;
  std::map<std::string, core::resources, std::less<>> held_by_customer_;
};

}  // namespace

namespace detail {

std::vector<std::size_t> SmallestCover(std::span<const core::resources> sizes,
                                       const core::resources& deficit,
                                       std::size_t max_count) {
  core::resources sum;
  for (const core::resources& size : sizes) sum += size;
  // Resource kinds without a deficit need no cover.
  const core::resources needed = LargerOf(deficit, {});
  if (!sum.Holds(needed)) return {};
  covering_search search(sizes);
  for (std::size_t count = 1; count <= std::min(max_count, sizes.size());
       ++count) {
    if (search.Find(needed, count)) return search.Chosen();
    if (search.IsExhausted()) break;
  }
  if (!search.IsExhausted()) return {};
  std::vector<std::size_t> trimmed = CoverAndTrim(sizes, needed);
  if (trimmed.size() > max_count) trimmed.clear();
  return trimmed;
}

}  // namespace detail

std::vector<preemption> PlanPreemptions(
    const shard_state& state, std::span<const candidate_worker> workers,
    const bundle::bundle_view& policy, std::size_t limit,
    const preemption_inputs& inputs) {
  return preemption_pass(state, workers, policy, inputs).Run(limit);
}

}  // namespace waxwingfront::shard
