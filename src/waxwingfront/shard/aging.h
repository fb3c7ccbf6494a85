// Reserves capacity for the job that has waited longest. Otherwise a stream of
// small tasks could take all capacity that becomes free, and large tasks would
// starve.
#ifndef WAXWINGFRONT_SHARD_AGING_H_
#define WAXWINGFRONT_SHARD_AGING_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/core/clock.h"
#include "waxwingfront/shard/planner.h"
#include "waxwingfront/shard/shard_state.h"

namespace waxwingfront::shard {

// Time without a binding after which a job is entitled to a reservation. A
// shard has at most 1 reservation at a time, so at most 1 worker is withheld
// from other jobs, and the n-th entitled job starts at the latest after this
// limit plus n times the longest run time of a task. Reservations ignore
// priorities, since strict priority would let a stream of small tasks of higher
// priority starve a job indefinitely.
inline constexpr core::milliseconds kAgingLimit{60000};

// State is in the owner's memory only, so all waiting times start at zero after
// a take-over.
class aging {
 public:
  // Restarts the waiting time of `job`.
  void OnBound(std::string_view job, core::monotonic_time now);
  // Returns capacity to hold for the job that has waited longest beyond the
  // limit, on the permitted worker with the smallest shortfall for one task.
  // Returns nothing if no job is entitled to a reservation, or if `held` still
  // contains the previous one.
  std::optional<held_capacity> ChooseReservation(
      const shard_state& state, std::span<const candidate_worker> workers,
      const bundle::bundle_view& policy, std::span<const held_capacity> held,
      core::monotonic_time now);

 private:
  void UpdateWaits(const shard_state& state, core::monotonic_time now);

  // For each job with unbound tasks, the time at which it was first seen or
  // last bound.
  std::map<std::string, core::monotonic_time, std::less<>> waits_since_;
  std::optional<held_capacity> reserved_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_AGING_H_
