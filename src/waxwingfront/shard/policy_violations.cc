#include "waxwingfront/shard/policy_violations.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include "waxwingfront/core/resources.h"
#include "waxwingfront/shard/planner.h"

namespace waxwingfront::shard {
namespace {

struct placed_attempt {
  const job_record* job = nullptr;
  std::int64_t task = 0;
  std::int32_t attempt = 0;
  // Null if the class may not be where the attempt is.
  const schema::batch_class_policy* permitted = nullptr;
};

using attempts_by_worker = std::map<std::string, std::vector<placed_attempt>>;

// The class of `job` if `policy` permits it on `worker`.
const schema::batch_class_policy* PermittedClass(
    const job_record& job, const hosts::worker_info& worker,
    const bundle::bundle_view& policy) {
  const auto* found = policy.FindBatchClass(job.spec.batch_class());
  const bool permitted = found != nullptr &&
                         policy.FindCustomer(job.spec.customer()) != nullptr &&
                         IsPermitted(worker, *found);
  return permitted ? found : nullptr;
}

attempts_by_worker GroupByWorker(const shard_state& state,
                                 const hosts::host_view& view,
                                 const bundle::bundle_view& policy) {
  attempts_by_worker grouped;
  for (const std::string& id : state.OpenJobs()) {
    const job_record& job = *state.FindJob(id);
    for (const auto& [task, bound] : job.active) {
      const auto worker = view.workers.find(bound.worker);
      if (worker == view.workers.end()) continue;
      grouped[bound.worker].push_back(
          {.job = &job,
           .task = task,
           .attempt = bound.attempt,
           .permitted = PermittedClass(job, worker->second, policy)});
    }
  }
  return grouped;
}

// Whether `left` stays rather than `right`.
bool StaysBefore(const placed_attempt& left, const placed_attempt& right) {
  const auto rank = [](const placed_attempt& placed) {
    return std::tuple(-placed.permitted->priority(), placed.job->order,
                      placed.task);
  };
  return rank(left) < rank(right);
}

schema::attempt_id IdOf(const placed_attempt& placed) {
  schema::attempt_id id;
  id.set_job(placed.job->spec.id());
  id.set_task(placed.task);
  id.set_attempt(placed.attempt);
  return id;
}

void FindOnWorker(const hosts::worker_info& worker,
                  std::vector<placed_attempt> attempts,
                  const bundle::bundle_view& policy,
                  std::vector<schema::attempt_id>& found) {
  std::erase_if(attempts, [&found](const placed_attempt& placed) {
    if (placed.permitted == nullptr) found.push_back(IdOf(placed));
    return placed.permitted == nullptr;
  });
  std::sort(attempts.begin(), attempts.end(), StaysBefore);
  core::resources free = BatchCapacity(worker, policy);
  std::map<std::string, core::resources> by_class;
  for (const placed_attempt& placed : attempts) {
    const core::resources& size = placed.job->task_size;
    const core::resources share =
        worker.capacity.Percent(placed.permitted->host_share_percent());
    core::resources& used = by_class[placed.permitted->name()];
    if (!free.Holds(size) || !share.Holds(used + size)) {
      found.push_back(IdOf(placed));
      continue;
    }
    free -= size;
    used += size;
  }
}

}  // namespace

std::vector<schema::attempt_id> FindViolations(
    const shard_state& state, const hosts::host_view& view,
    const bundle::bundle_view& policy) {
  std::vector<schema::attempt_id> found;
  for (auto& [worker, attempts] : GroupByWorker(state, view, policy)) {
    FindOnWorker(view.workers.find(worker)->second, attempts, policy, found);
  }
  return found;
}

}  // namespace waxwingfront::shard
