// Capacity of workers that is kept for the tasks of one job until they start.
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

// Kept in the owner's memory only: a new owner decides anew.
class capacity_holds {
 public:
  void Add(held_capacity held, core::monotonic_time until);
  // A task of `job` was bound to `worker`; its hold is used up.
  void OnBound(std::string_view job, std::string_view worker);
  // Drops holds of jobs without that many tasks to bind, holds on workers that
  // may receive nothing, and holds that lasted until `now`.
  void Prune(const shard_state& state,
             const std::function<bool(std::string_view worker)>& is_candidate,
             core::monotonic_time now);

  std::span<const held_capacity> All() const { return held_; }
  bool HasHoldOn(std::string_view worker) const;
  bool HasHoldFor(std::string_view job) const;

 private:
  // Equal positions belong together.
  std::vector<held_capacity> held_;
  std::vector<core::monotonic_time> until_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_CAPACITY_HOLDS_H_
