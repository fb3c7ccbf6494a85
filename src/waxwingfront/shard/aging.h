// Reserves a worker for the job that has waited longest, so that large tasks
// start although smaller ones keep taking every bit of capacity that frees up.
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

// Time without a binding after which a job may get a reservation. One is held
// at a time, so a shard gives up at most one worker, and the n-th such job
// starts at the latest after this limit and n times the longest run time of
// what runs on a worker. Reservations disregard priorities: strict priority
// would let a stream of more important small tasks starve a job for good.
inline constexpr core::milliseconds kAgingLimit{60000};

// Kept in the owner's memory only: after a take-over, waiting starts anew.
class aging {
 public:
  void OnBound(std::string_view job, core::monotonic_time now);
  // Capacity to hold for the job that has waited longest beyond the limit, on
  // the permitted worker that misses the least for it. Nothing if no job is
  // entitled to it or `held` has one for an aged job already.
  std::optional<held_capacity> ChooseReservation(
      const shard_state& state, std::span<const candidate_worker> workers,
      const bundle::bundle_view& policy, std::span<const held_capacity> held,
      core::monotonic_time now);

 private:
  void UpdateWaits(const shard_state& state, core::monotonic_time now);

  // When each job with unbound tasks was first seen or last got a binding.
  std::map<std::string, core::monotonic_time, std::less<>> waits_since_;
  std::optional<held_capacity> reserved_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_AGING_H_
