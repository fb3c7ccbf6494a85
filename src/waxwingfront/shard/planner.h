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

// A worker that may receive new work now.
struct candidate_worker {
  const hosts::worker_info* info = nullptr;
  // Sizes of tasks that run there without being bound in the log.
  core::resources unaccounted;
  // Lets a quarantined worker without bound attempts receive one task.
  bool probe = false;
};

// Capacity of one worker that only the tasks of one job may take, one task's
// size for each entry.
struct held_capacity {
  std::string job;
  std::string worker;
  core::resources size;

  friend bool operator==(const held_capacity&, const held_capacity&) = default;
};

// What the owner knows beyond the shard's log.
struct planning_inputs {
  std::span<const held_capacity> held;
  // Whether a waiting task may be bound again now; an empty function means yes.
  std::function<bool(std::string_view job, std::int64_t task)> is_due;
};

// While first attempts of the same priority can be placed, attempts after a
// failure take at most this part of the bindings of one pass and priority, or
// one binding.
inline constexpr int kRetryBudgetPercent = 20;

// Bindings for tasks of open jobs, at most `limit`. Each is valid after those
// before it. No worker is committed beyond its capacity less the reserves of
// its executors; the classes' host shares and the customers' quotas hold.
// Workers that are leaving or quarantined get nothing but a probe. Jobs with
// held capacity go first, then higher priorities, then customers with the
// smaller dominant share of capacity for their weight, then older jobs.
std::vector<schema::attempt_bound> PlanBindings(
    const shard_state& state, std::span<const candidate_worker> workers,
    const bundle::bundle_view& policy, std::size_t limit,
    const planning_inputs& inputs = {});

// The largest share that `part` takes of any kind of `whole`.
double DominantShare(const core::resources& part, const core::resources& whole);

// Capacity of `worker` that batch work may use under `policy`.
core::resources BatchCapacity(const hosts::worker_info& worker,
                              const bundle::bundle_view& policy);

// Whether `policy` lets tasks of `batch_class` run on `worker`.
bool IsPermitted(const hosts::worker_info& worker,
                 const schema::batch_class_policy& batch_class);

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_PLANNER_H_
