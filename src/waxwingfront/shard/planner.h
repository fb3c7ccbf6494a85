// Decides which waiting tasks to bind to which workers.
#ifndef WAXWINGFRONT_SHARD_PLANNER_H_
#define WAXWINGFRONT_SHARD_PLANNER_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/core/resources.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/schema/gen/shard_log.pb.h"
#include "waxwingfront/shard/shard_state.h"

namespace waxwingfront::shard {

// A worker that may receive new work.
struct candidate_worker {
  const hosts::worker_info* info = nullptr;
  // Capacity that is unavailable although no binding in the log accounts for
  // it, for example that of running tasks unknown to the log.
  core::resources unaccounted;
  // True if the worker may receive one probe task while it is quarantined and
  // has no bound attempts.
  bool probe = false;
};

// Capacity of one worker that is held for one task of one job.
struct held_capacity {
  std::string job;
  std::string worker;
  core::resources size;

  friend bool operator==(const held_capacity&, const held_capacity&) = default;
};

// Inputs from the owner's memory that are not in the shard's log.
struct planning_inputs {
  std::span<const held_capacity> held;
  // Returns true if a waiting task may be bound again. If empty, all waiting
  // tasks may.
  std::function<bool(std::string_view job, std::int64_t task)> is_due;
};

// Retry budget: while first attempts of the same priority can be placed, tasks
// that failed before get at most this percentage of the bindings of one
// planning pass and priority, but at least one binding.
inline constexpr int kRetryBudgetPercent = 20;

// Returns at most `limit` bindings for tasks of open jobs; they are valid when
// applied in order. No worker is committed beyond its capacity less the
// reserves of its executors, and batch classes' host shares and customers'
// quotas are respected. Leaving workers get no task, and quarantined workers
// get at most one probe. The order is: jobs with held capacity, then higher
// priority, then customers with the smaller weighted dominant share, then older
// jobs.
std::vector<schema::attempt_bound> PlanBindings(
    const shard_state& state, std::span<const candidate_worker> workers,
    const bundle::bundle_view& policy, std::size_t limit,
    const planning_inputs& inputs = {});

// Returns the largest fraction that `part` takes of any resource kind of
// `whole`.
double DominantShare(const core::resources& part, const core::resources& whole);

// Returns the capacity of `worker` that batch work may use under `policy`.
core::resources BatchCapacity(const hosts::worker_info& worker,
                              const bundle::bundle_view& policy);

// True if `batch_class` permits its tasks to run on `worker`.
bool IsPermitted(const hosts::worker_info& worker,
                 const schema::batch_class_policy& batch_class);

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_PLANNER_H_
