// Chooses running work to evict for urgent tasks without a feasible placement.
#ifndef WAXWINGFRONT_SHARD_PREEMPTION_H_
#define WAXWINGFRONT_SHARD_PREEMPTION_H_

#include <functional>
#include <span>
#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/schema/gen/shard_log.pb.h"
#include "waxwingfront/shard/planner.h"
#include "waxwingfront/shard/shard_state.h"

namespace waxwingfront::shard {

// Capacity for one urgent task and the evictions that free it.
struct preemption {
  held_capacity held;
  // Attempts on the worker to evict. Empty if the capacity is already free or
  // is being freed.
  std::vector<schema::attempt_id> victims;
};

struct preemption_inputs {
  // Capacity that is already held; it is not assigned to another task.
  std::span<const held_capacity> held;
  // Returns true if an attempt is being stopped; its capacity counts as free.
  // If empty, no attempt is being stopped.
  std::function<bool(const schema::attempt_id&)> is_ending;
};

// Returns at most `limit` preemptions for urgent tasks that have neither a
// binding nor held capacity. The victims of a task are preemptible, have a
// lower priority and are all on one worker. None of them is superfluous, and
// once they have ended the placement complies with the bundle. The worker with
// the fewest victims is chosen, then the one whose victims were bound earliest.
// If the search becomes too large, the number of victims may exceed the
// minimum.
std::vector<preemption> PlanPreemptions(
    const shard_state& state, std::span<const candidate_worker> workers,
    const bundle::bundle_view& policy, std::size_t limit,
    const preemption_inputs& inputs = {});

namespace detail {

// Returns the ascending indices of a smallest subset of `sizes` whose sum is at
// least `deficit` in every resource kind; among subsets of equal size, the
// lexicographically first. Empty if no subset of at most `max_count` elements
// suffices.
std::vector<std::size_t> SmallestCover(std::span<const core::resources> sizes,
                                       const core::resources& deficit,
                                       std::size_t max_count);

}  // namespace detail
}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_PREEMPTION_H_
