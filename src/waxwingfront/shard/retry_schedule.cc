#include "waxwingfront/shard/retry_schedule.h"

#include <algorithm>
#include <iterator>

#include "waxwingfront/core/hash.h"

namespace waxwingfront::shard {
namespace {

constexpr std::uint64_t kJitterSteps = 1024;

core::milliseconds ExponentialDelay(core::milliseconds first,
                                    core::milliseconds limit,
                                    std::int32_t times) {
  core::milliseconds delay = first;
  for (std::int32_t step = 0; step < times && delay < limit; ++step) delay *= 2;
  return std::min(delay, limit);
}

}  // namespace

core::milliseconds RetryDelay(const schema::attempt_id& id,
                              schema::attempt_outcome outcome) {
  const bool failed = outcome == schema::ATTEMPT_OUTCOME_FAILED;
  const core::milliseconds delay = ExponentialDelay(
      failed ? kInitialFailureDelay : kInitialInterruptionDelay,
      failed ? kMaxFailureDelay : kMaxInterruptionDelay, id.attempt() - 1);
  const std::uint64_t step =
      core::Fnv1a(id.job() + "|" + std::to_string(id.task()) + "|" +
                  std::to_string(id.attempt())) %
      kJitterSteps;
  return delay - delay / 2 * step / kJitterSteps;
}

void retry_schedule::OnEnded(const schema::attempt_id& id,
                             schema::attempt_outcome outcome,
                             core::monotonic_time now) {
  if (outcome == schema::ATTEMPT_OUTCOME_FINISHED) return;
  due_[id.job()][id.task()] = now + RetryDelay(id, outcome);
}

bool retry_schedule::IsDue(std::string_view job, std::int64_t task,
                           core::monotonic_time now) const {
  const auto tasks = due_.find(job);
  if (tasks == due_.end()) return true;
  const auto found = tasks->second.find(task);
  return found == tasks->second.end() || found->second <= now;
}

void retry_schedule::Prune(core::monotonic_time now) {
  for (auto job = due_.begin(); job != due_.end();) {
    std::erase_if(job->second,
                  [now](const auto& task) { return task.second <= now; });
    job = job->second.empty() ? due_.erase(job) : std::next(job);
  }
}

}  // namespace waxwingfront::shard
