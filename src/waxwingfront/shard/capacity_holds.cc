#include "waxwingfront/shard/capacity_holds.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace waxwingfront::shard {

void capacity_holds::Add(held_capacity held, core::monotonic_time until) {
  held_.push_back(std::move(held));
  until_.push_back(until);
}

void capacity_holds::OnBound(std::string_view job, std::string_view worker) {
  const auto found = std::find_if(
      held_.begin(), held_.end(), [job, worker](const held_capacity& item) {
        return item.job == job && item.worker == worker;
      });
  if (found == held_.end()) return;
  until_.erase(until_.begin() + (found - held_.begin()));
  held_.erase(found);
}

void capacity_holds::Prune(
    const shard_state& state,
    const std::function<bool(std::string_view worker)>& is_candidate,
    core::monotonic_time now) {
  std::map<std::string, std::int64_t, std::less<>> kept_per_job;
  std::size_t kept = 0;
  for (std::size_t index = 0; index < held_.size(); ++index) {
    const job_record* job = state.FindJob(held_[index].job);
    const std::int64_t unbound =
        job == nullptr || !job->HasUnboundTask()
            ? 0
            : static_cast<std::int64_t>(job->waiting.size()) +
                  job->spec.task_count() - job->next_task;
    if (until_[index] <= now || !is_candidate(held_[index].worker)) continue;
    if (kept_per_job[held_[index].job] >= unbound) continue;
    ++kept_per_job[held_[index].job];
    if (kept != index) {
      held_[kept] = std::move(held_[index]);
      until_[kept] = until_[index];
    }
    ++kept;
  }
  held_.resize(kept);
  until_.resize(kept);
}

bool capacity_holds::HasHoldOn(std::string_view worker) const {
  return std::any_of(
      held_.begin(), held_.end(),
      [worker](const held_capacity& item) { return item.worker == worker; });
}

bool capacity_holds::HasHoldFor(std::string_view job) const {
  return std::any_of(
      held_.begin(), held_.end(),
      [job](const held_capacity& item) { return item.job == job; });
}

}  // namespace waxwingfront::shard
