// Worker capacity that is held for the tasks of one job until they are bound.
#ifndef WAXWINGFRONT_SHARD_CAPACITY_HOLDS_H_
#define WAXWINGFRONT_SHARD_CAPACITY_HOLDS_H_

#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/shard/planner.h"
#include "waxwingfront/shard/shard_state.h"

namespace waxwingfront::shard {

// Holds are in the owner's memory only; a new owner makes its own.
class capacity_holds {
 public:
  // The hold expires at `until`.
  void Add(held_capacity held, core::monotonic_time until);
  // Removes one hold of `job` on `worker`, because a task was bound there.
  void OnBound(std::string_view job, std::string_view worker);
  // Removes holds in excess of their job's unbound tasks, holds on workers that
  // are no candidates, and holds that have expired at `now`.
  void Prune(const shard_state& state,
             const std::function<bool(std::string_view worker)>& is_candidate,
             core::monotonic_time now);

  std::span<const held_capacity> All() const { return held_; }
  bool HasHoldOn(std::string_view worker) const;
  bool HasHoldFor(std::string_view job) const;

 private:
  // Parallel lists: `until_[i]` is the expiry of `held_[i]`.
  std::vector<held_capacity> held_;
  std::vector<core::monotonic_time> until_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_CAPACITY_HOLDS_H_
