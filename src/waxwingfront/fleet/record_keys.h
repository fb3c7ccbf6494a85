// Keys of the fleet's records in the store.
#ifndef WAXWINGFRONT_FLEET_RECORD_KEYS_H_
#define WAXWINGFRONT_FLEET_RECORD_KEYS_H_

#include <string>
#include <string_view>

#include "waxwingfront/fleet/fleet_journal.h"

namespace waxwingfront::fleet {

// Names the leader, under its lease.
inline constexpr std::string_view kLeaderKey = "wf/leader";
inline constexpr std::string_view kMembersPrefix = "wf/members/";
// Not in the members' records, whose whole value earlier versions call.
inline constexpr std::string_view kStrengthsPrefix = "wf/strengths/";
inline constexpr std::string_view kSharingKey = "wf/sharing";
inline constexpr std::string_view kJobPrefix = "wf/jobs/";
inline constexpr std::string_view kProgressPrefix = "wf/progress/";

std::string RecordKey(record_kind kind, std::string_view id);

// Where the record of `key` stands; the key is a job's or its progress's.
record_revision RevisionOf(std::string_view key, std::int64_t revision);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_RECORD_KEYS_H_
