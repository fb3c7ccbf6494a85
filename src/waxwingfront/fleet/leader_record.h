// Value of the leader key in the store.
#ifndef WAXWINGFRONT_FLEET_LEADER_RECORD_H_
#define WAXWINGFRONT_FLEET_LEADER_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct leader_record {
  // Internal address of the leader or, if the key is reserved, of the only
  // process that may claim it.
  std::string address;
  // Identifies the start of the leader's process.
  std::string nonce;
  // Store lease of the leader's claim; 0 if unknown, as for earlier versions.
  std::int64_t lease = 0;
  // Strength of the leader's machine; 0 if unknown, as for earlier versions.
  std::int64_t strength = 0;
  // A leader has handed over, and nobody has claimed the key since.
  bool reserved = false;
  // Token of the leader that reserved the key.
  std::int64_t reserved_by = 0;
  // For how long there had been no leader that was ready when the key was
  // reserved.
  core::milliseconds leaderless{0};
};

// Earlier versions take the address of a reservation for that of the leader.
std::string FormatLeaderRecord(const leader_record& record);

// Fields that are missing or malformed keep their defaults.
leader_record ParseLeaderRecord(std::string_view value);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEADER_RECORD_H_
