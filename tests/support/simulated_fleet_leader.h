// Definitions shared by the source files of `simulated_fleet`.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_SIMULATED_FLEET_LEADER_H_
#define WAXWINGFRONT_TESTS_SUPPORT_SIMULATED_FLEET_LEADER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "support/simulated_fleet.h"

namespace waxwingfront::tests {

inline constexpr std::int64_t kStepMs = 10;
inline constexpr std::int64_t kLeaderRoundMs = 20;
inline constexpr std::int64_t kHoldMs = 100;
inline constexpr std::int64_t kOrderTimeoutMs = 400;
inline constexpr std::int64_t kHoldLeaseMs = 7000;
inline constexpr std::int64_t kDrainMs = 2000;
inline constexpr std::int64_t kWatchMs = 300;
inline constexpr std::int64_t kLeaseRecordMs = 500;
inline constexpr std::int64_t kWatchLatencyMs = 10;
// Time from the start of draining to the shutdown of an executor.
inline constexpr std::int64_t kDrainingMs = 6000;
inline constexpr std::int64_t kDowntimeMs = 6000;
inline constexpr std::int64_t kEndGraceMs = 100;
inline constexpr std::int64_t kLeaseMs = 1500;
inline constexpr int kMaxAttempts = 3;
inline constexpr std::uint32_t kFirstStepTasks = 3;
inline constexpr std::uint32_t kSecondStepTasks = 2;
inline constexpr int kThousand = 1000;
inline constexpr std::int64_t kCpuMillis = 1000;
// Longest time that a member of a gang waits for the others.
inline constexpr std::int64_t kGangTimeoutMs = 3000;

inline std::size_t Index(const std::string& executor) {
  return std::stoul(executor.substr(1));
}

// Returns a job of two steps, the second of which depends on the first.
// The second step is a gang on request.
schema::fleet_job TwoStepJob(const std::string& id, bool has_gang);

struct simulated_fleet::leader {
  explicit leader(std::int64_t fencing_token)
      : core({.deadlines = {.hold_lease = core::milliseconds(kHoldLeaseMs),
                            .drain_bound = core::milliseconds(kDrainMs)},
              .leader_lease = core::milliseconds(kLeaseMs)}),
        token(fencing_token) {}

  fleet::fleet_core core;
  std::int64_t token;
  // Time until which the leader considers its lease valid.
  std::int64_t lease_until_ms = std::numeric_limits<std::int64_t>::max();
  // Batches in flight.
  int writing = 0;
  std::set<int> holding;
  // End of the current stall, until which it handles no events.
  std::int64_t busy_until_ms = 0;
  std::vector<std::int64_t> first_hold_ms;
  int entries_seen = 0;
  // When the last version of the lease record was sent.
  std::int64_t leases_sent_ms = 0;
  // A version has no response yet.
  bool writing_leases = false;
  std::int64_t leases_revision = 0;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_SIMULATED_FLEET_LEADER_H_
