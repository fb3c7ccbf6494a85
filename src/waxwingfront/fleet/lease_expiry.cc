#include "waxwingfront/fleet/lease_expiry.h"

#include <cstddef>

namespace waxwingfront::fleet {
namespace {

// Whether half or more of the registered executors answer: a leader that is cut
// off or too slow to read answers learns nothing from silence.
bool ReachesOthers(const fleet_state& state) {
  std::size_t registered = 0;
  std::size_t answering = 0;
  for (const auto& [id, executor] : state.executors) {
    if (!executor.registered) continue;
    ++registered;
    if (executor.in_contact) ++answering;
  }
  return 2 * answering >= registered;
}

bool LongSilent(const executor_state& executor,
                const lease_expiry_options& options, core::monotonic_time now) {
  const core::monotonic_time heard = executor.reached && executor.clock
                                         ? executor.clock->received
                                         : executor.unreached_expiry;
  return now - heard >= options.silence &&
         executor.unanswered_holds >= options.unanswered;
}

}  // namespace

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
        (LongSilent(executor, options, now) && ReachesOthers(state))) {
      expired.push_back(&executor);
    }
  }
  return expired;
}

}  // namespace waxwingfront::fleet
