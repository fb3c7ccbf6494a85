#include "waxwingfront/fleet/lease_expiry.h"

#include <algorithm>
#include <cstddef>

namespace waxwingfront::fleet {
namespace {

// True if at least half of the registered executors are in contact. A leader
// that is cut off or too slow to read responses cannot infer anything from an
// executor's silence.
bool ReachesHalfOfFleet(const fleet_state& state) {
  std::size_t registered = 0;
  std::size_t reachable = 0;
  for (const auto& [id, executor] : state.executors) {
    if (!executor.registered) continue;
    ++registered;
    if (executor.in_contact) ++reachable;
  }
  return 2 * reachable >= registered;
}

core::monotonic_time EndOfMinSilence(const executor_state& executor,
                                     const lease_expiry_options& options) {
  const core::monotonic_time last_contact = executor.reached && executor.clock
                                                ? executor.clock->received
                                                : executor.unreached_expiry;
  return last_contact + options.min_silence;
}

bool IsSilent(const executor_state& executor,
              const lease_expiry_options& options, core::monotonic_time now) {
  return now >= EndOfMinSilence(executor, options) &&
         executor.unanswered_holds >= options.min_unanswered_holds;
}

}  // namespace

core::monotonic_time RunsOverIfSilent(const executor_state& executor,
                                      const lease_expiry_options& options) {
  return executor.registered
             ? std::max(executor.LeaseEnd(), EndOfMinSilence(executor, options))
             : executor.LeaseEnd();
}

std::vector<executor_state*> ExpiredExecutors(
    fleet_state& state, const lease_expiry_options& options,
    core::monotonic_time now) {
  std::vector<executor_state*> expired;
  for (auto& [id, executor] : state.executors) {
    if (executor.active.empty() || executor.in_contact ||
        !executor.AllLeasesExpired(now)) {
      continue;
    }
    if (!executor.registered ||
        (IsSilent(executor, options, now) && ReachesHalfOfFleet(state))) {
      expired.push_back(&executor);
    }
  }
  return expired;
}

core::milliseconds LongestEarlierLease(const executor_state& executor,
                                       core::milliseconds longest_hold,
                                       core::monotonic_time sent) {
  // This leader may have sent a start with a deadline on the clock of the
  // previous incarnation.
  if (executor.reached) return longest_hold;
  const auto left =
      std::chrono::ceil<core::milliseconds>(executor.unreached_expiry - sent);
  return std::clamp(left, core::milliseconds(0), longest_hold);
}

core::monotonic_time SilentSince(const executor_state& executor,
                                 core::milliseconds longest_hold) {
  return executor.reached && executor.clock
             ? executor.clock->received
             : executor.LeaseEnd() - longest_hold;
}

}  // namespace waxwingfront::fleet
