#include "waxwingfront/shard/aging.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace waxwingfront::shard {
namespace {

bool IsWithinQuota(const shard_state& state, const job_record& job,
                   const bundle::bundle_view& policy) {
  const auto* customer = policy.FindCustomer(job.spec.customer());
  if (customer == nullptr) return false;
  return !customer->has_quota() ||
         core::FromSchema(customer->quota())
             .Holds(state.CommittedToCustomer(job.spec.customer()) +
                    job.task_size);
}

// Returns the capacity that the worker lacks for one task of `job`, as a
// dominant share of the worker's capacity, or nothing if the task can never run
// there.
std::optional<double> MissingShare(const shard_state& state,
                                   const job_record& job,
                                   const candidate_worker& worker,
                                   const bundle::bundle_view& policy) {
  const hosts::worker_info& info = *worker.info;
  const auto* batch_class = policy.FindBatchClass(job.spec.batch_class());
  const bool usable = batch_class != nullptr && !info.leaving &&
                      !state.Quarantined().contains(info.id) &&
                      IsPermitted(info, *batch_class);
  if (!usable) return std::nullopt;
  const core::resources whole =
      BatchCapacity(info, policy) - worker.unaccounted;
  const core::resources share =
      info.capacity.Percent(batch_class->host_share_percent());
  if (!whole.Holds(job.task_size) || !share.Holds(job.task_size))
    return std::nullopt;
  const core::resources free = whole - state.CommittedToWorker(info.id);
  return DominantShare(job.task_size - free, info.capacity);
}

}  // namespace

void aging::OnBound(std::string_view job, core::monotonic_time now) {
  const auto found = waits_since_.find(job);
  if (found != waits_since_.end()) found->second = now;
}

void aging::UpdateWaits(const shard_state& state, core::monotonic_time now) {
  std::erase_if(waits_since_, [&state](const auto& item) {
    const job_record* job = state.FindJob(item.first);
    return job == nullptr || !job->HasUnboundTask();
  });
  for (const std::string& id : state.OpenJobs()) {
    if (state.FindJob(id)->HasUnboundTask()) waits_since_.try_emplace(id, now);
  }
}

std::optional<held_capacity> aging::ChooseReservation(
    const shard_state& state, std::span<const candidate_worker> workers,
    const bundle::bundle_view& policy, std::span<const held_capacity> held,
    core::monotonic_time now) {
  UpdateWaits(state, now);
  const bool still_reserved =
      reserved_.has_value() &&
      std::find(held.begin(), held.end(), *reserved_) != held.end();
  if (still_reserved) return std::nullopt;
  reserved_.reset();
  std::vector<std::pair<core::monotonic_time, const job_record*>> aged;
  for (const auto& [id, since] : waits_since_) {
    if (now >= since + kAgingLimit) aged.emplace_back(since, state.FindJob(id));
  }
  std::sort(aged.begin(), aged.end(), [](const auto& left, const auto& right) {
    return std::pair(left.first, left.second->order) <
           std::pair(right.first, right.second->order);
  });
  for (const auto& [since, job] : aged) {
    if (!IsWithinQuota(state, *job, policy)) continue;
    std::optional<double> least;
    for (const candidate_worker& worker : workers) {
      const auto missing = MissingShare(state, *job, worker, policy);
      if (!missing.has_value() || (least.has_value() && *missing >= *least))
        continue;
      least = missing;
      reserved_ = held_capacity{.job = job->spec.id(),
                                .worker = worker.info->id,
                                .size = job->task_size};
    }
    if (reserved_.has_value()) return reserved_;
  }
  return std::nullopt;
}

}  // namespace waxwingfront::shard
