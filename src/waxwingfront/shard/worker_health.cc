#include "waxwingfront/shard/worker_health.h"

#include <algorithm>

namespace waxwingfront::shard {
namespace {

constexpr std::size_t kFullPercent = 100;

std::size_t MaxQuarantined(std::size_t workers) {
  return std::max<std::size_t>(1,
                               workers * kMaxQuarantinedPercent / kFullPercent);
}

}  // namespace

void worker_health::OnSuccess(std::string_view worker, std::string_view job) {
  if (const auto found = failed_jobs_.find(worker); found != failed_jobs_.end())
    failed_jobs_.erase(found);
  if (const auto found = next_probe_.find(worker); found != next_probe_.end())
    next_probe_.erase(found);
  OnJobClosed(job);
}

void worker_health::OnJobClosed(std::string_view job) {
  if (const auto found = failed_on_.find(job); found != failed_on_.end())
    failed_on_.erase(found);
}

bool worker_health::IsJobFault(std::string_view job) const {
  const auto found = failed_on_.find(job);
  return found != failed_on_.end() &&
         found->second.size() >= kWorkersToBlameJob;
}

failure_attribution worker_health::OnFailure(std::string_view worker,
                                             std::string_view job,
                                             const quarantine_status& status,
                                             core::monotonic_time now) {
  if (status.this_worker) {
    next_probe_[std::string(worker)] = now + kProbePause;
    return IsJobFault(job) ? failure_attribution::kJob
                           : failure_attribution::kWorker;
  }
  failed_on_[std::string(job)].emplace(worker);
  if (IsJobFault(job)) {
    for (auto& [name, jobs] : failed_jobs_) {
      if (const auto found = jobs.find(job); found != jobs.end())
        jobs.erase(found);
    }
    return failure_attribution::kJob;
  }
  name_set& jobs = failed_jobs_[std::string(worker)];
  jobs.emplace(job);
  const bool quarantine = jobs.size() >= kFailuresToQuarantine &&
                          status.quarantined < MaxQuarantined(status.workers);
  if (!quarantine) return failure_attribution::kJob;
  next_probe_[std::string(worker)] = now + kProbePause;
  return failure_attribution::kQuarantine;
}

bool worker_health::MayProbe(std::string_view worker,
                             core::monotonic_time now) const {
  const auto found = next_probe_.find(worker);
  return found == next_probe_.end() || found->second <= now;
}

}  // namespace waxwingfront::shard
