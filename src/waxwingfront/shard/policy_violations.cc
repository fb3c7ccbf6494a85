#include "waxwingfront/shard/policy_violations.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include "waxwingfront/core/resources.h"
#include "waxwingfront/shard/planner.h"

namespace waxwingfront::shard {
namespace {

struct bound_task {
  const job_record* job = nullptr;
  std::int64_t task = 0;
  std::int32_t attempt = 0;
  // Null if the class is not permitted on the attempt's worker.
  const schema::batch_class_policy* permitted_class = nullptr;
};

using attempts_by_worker = std::map<std::string, std::vector<bound_task>>;

// Returns the batch class of `job` if `policy` permits it on `worker`, and null
// otherwise.
const schema::batch_class_policy* PermittedClass(
    const job_record& job, const hosts::worker_info& worker,
    const bundle::bundle_view& policy) {
  const auto* found = policy.FindBatchClass(job.spec.batch_class());
  const bool is_permitted =
      found != nullptr && policy.FindCustomer(job.spec.customer()) != nullptr &&
      IsPermitted(worker, *found);
  return is_permitted ? found : nullptr;
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
           .permitted_class = PermittedClass(job, worker->second, policy)});
    }
  }
  return grouped;
}

// True if `left` has precedence over `right` when not both can stay.
bool IsKeptBefore(const bound_task& left, const bound_task& right) {
  const auto rank = [](const bound_task& placed) {
    return std::tuple(-placed.permitted_class->priority(), placed.job->order,
                      placed.task);
  };
  return rank(left) < rank(right);
}

schema::attempt_id IdOf(const bound_task& placed) {
  schema::attempt_id id;
  id.set_job(placed.job->spec.id());
  id.set_task(placed.task);
  id.set_attempt(placed.attempt);
  return id;
}

void FindViolationsOnWorker(const hosts::worker_info& worker,
                            std::vector<bound_task> attempts,
                            const bundle::bundle_view& policy,
                            std::vector<schema::attempt_id>& found) {
  std::erase_if(attempts, [&found](const bound_task& placed) {
    if (placed.permitted_class == nullptr) found.push_back(IdOf(placed));
    return placed.permitted_class == nullptr;
  });
  std::sort(attempts.begin(), attempts.end(), IsKeptBefore);
  core::resources free = BatchCapacity(worker, policy);
  std::map<std::string, core::resources> by_class;
  for (const bound_task& placed : attempts) {
    const core::resources& size = placed.job->task_size;
    const core::resources share =
        worker.capacity.Percent(placed.permitted_class->host_share_percent());
    core::resources& used = by_class[placed.permitted_class->name()];
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
    FindViolationsOnWorker(view.workers.find(worker)->second, attempts, policy,
                           found);
  }
  return found;
}

}  // namespace waxwingfront::shard
