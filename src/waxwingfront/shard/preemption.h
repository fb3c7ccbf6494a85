// Chooses running work to evict for urgent tasks that fit nowhere.
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

// Room for one urgent task.
struct preemption {
  held_capacity held;
  // Attempts on the worker to evict; empty if the room is free or is becoming
  // free.
  std::vector<schema::attempt_id> victims;
};

struct preemption_inputs {
  // Capacity that is held already; none of it is given to another task.
  std::span<const held_capacity> held;
  // Whether an attempt is being stopped; it counts as gone. An empty function
  // means that none is.
  std::function<bool(const schema::attempt_id&)> is_ending;
};

// Room for urgent tasks that have no binding and no held capacity, at most
// `limit`. Victims are preemptible and of a lower priority, all on one worker,
// none could be left out, and the task keeps to all rules of the bundle once
// they have ended. Of all workers the one with the fewest victims is taken,
// then the one whose victims were bound earliest. A very large search falls
// back to a choice that may have more victims than the least possible number.
std::vector<preemption> PlanPreemptions(
    const shard_state& state, std::span<const candidate_worker> workers,
    const bundle::bundle_view& policy, std::size_t limit,
    const preemption_inputs& inputs = {});

namespace detail {

// Indices into `sizes`, ascending, of the fewest whose sum is at least
// `deficit` in every kind; the lexicographically first of equally many. At most
// `most` indices. Empty if there are none.
std::vector<std::size_t> SmallestCover(std::span<const core::resources> sizes,
                                       const core::resources& deficit,
                                       std::size_t max_count);

}  // namespace detail
}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_PREEMPTION_H_
