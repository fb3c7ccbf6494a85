#include "waxwingfront/shard/worker_health.h"

#include <algorithm>

namespace waxwingfront::shard {
namespace {

constexpr std::size_t kFullPercent = 100;

std::size_t MostQuarantined(std::size_t workers) {
  return std::max<std::size_t>(1,
                               workers * kMaxQuarantinedPercent / kFullPercent);
}

}  // namespace

void worker_health::OnSuccess(std::string_view worker, std::string_view job) {
  if (const auto found = failed_jobs_.find(worker); found != failed_jobs_.end())
    failed_jobs_.erase(found);
  if (const auto found = next_probe_.find(worker); found != next_probe_.end())
    next_probe_.erase(found);
  Forget(job);
}

void worker_health::Forget(std::string_view job) {
  if (const auto found = failed_on_.find(job); found != failed_on_.end())
    failed_on_.erase(found);
}

bool worker_health::IsOwnFault(std::string_view job) const {
  const auto found = failed_on_.find(job);
  return found != failed_on_.end() &&
         found->second.size() >= kWorkersForOwnFault;
}

failure_verdict worker_health::OnFailure(std::string_view worker,
                                         std::string_view job,
                                         const quarantine_use& use,
                                         core::monotonic_time now) {
  if (use.this_worker) {
    next_probe_[std::string(worker)] = now + kProbePause;
    return IsOwnFault(job) ? failure_verdict::kJob : failure_verdict::kWorker;
  }
  failed_on_[std::string(job)].emplace(worker);
  if (IsOwnFault(job)) {
    for (auto& [name, jobs] : failed_jobs_) {
      if (const auto found = jobs.find(job); found != jobs.end())
        jobs.erase(found);
    }
    return failure_verdict::kJob;
  }
  names& jobs = failed_jobs_[std::string(worker)];
  jobs.emplace(job);
  const bool quarantine = jobs.size() >= kFailuresToQuarantine &&
                          use.quarantined < MostQuarantined(use.workers);
  if (!quarantine) return failure_verdict::kJob;
  next_probe_[std::string(worker)] = now + kProbePause;
  return failure_verdict::kQuarantine;
}

bool worker_health::MayProbe(std::string_view worker,
                             core::monotonic_time now) const {
  const auto found = next_probe_.find(worker);
  return found == next_probe_.end() || found->second <= now;
}

}  // namespace waxwingfront::shard
