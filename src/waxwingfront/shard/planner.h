// Decides which waiting tasks to bind to which workers.
#ifndef WAXWINGFRONT_SHARD_PLANNER_H_
#define WAXWINGFRONT_SHARD_PLANNER_H_

#include <span>
#include <string>
#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/core/resources.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/schema/gen/shard_log.pb.h"
#include "waxwingfront/shard/shard_state.h"

namespace waxwingfront::shard {

// A worker that may receive new work now.
struct candidate_worker {
  const hosts::worker_info* info = nullptr;
  // Sizes of tasks that run there without being bound in the log.
  core::resources unaccounted;
};

// Bindings for tasks of open jobs, at most `limit`. Each is valid after those
// before it. No worker is committed beyond its capacity less the reserves of
// its executors; the classes' host shares and the customers' quotas hold.
// Higher priorities go first, then customers with the smaller share of capacity
// for their weight, then older jobs.
std::vector<schema::attempt_bound> PlanBindings(
    const shard_state& state, std::span<const candidate_worker> workers,
    const bundle::bundle_view& policy, std::size_t limit);

// Capacity of `worker` that batch work may use under `policy`.
core::resources BatchCapacity(const hosts::worker_info& worker,
                              const bundle::bundle_view& policy);

// Whether `policy` lets tasks of `batch_class` run on `worker`.
bool IsPermitted(const hosts::worker_info& worker,
                 const schema::batch_class_policy& batch_class);

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_PLANNER_H_
