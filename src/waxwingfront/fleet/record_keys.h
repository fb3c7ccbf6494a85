// Keys of the fleet's records in the store.
#ifndef WAXWINGFRONT_FLEET_RECORD_KEYS_H_
#define WAXWINGFRONT_FLEET_RECORD_KEYS_H_

#include <string>
#include <string_view>

#include "waxwingfront/fleet/fleet_journal.h"

namespace waxwingfront::fleet {

// Key of the leader's claim, which is bound to the leader's lease.
inline constexpr std::string_view kLeaderKey = "wf/leader";
inline constexpr std::string_view kMembersPrefix = "wf/members/";
// Separate from the members' records, because earlier versions use the whole
// value of those as an address.
inline constexpr std::string_view kStrengthsPrefix = "wf/strengths/";
// Requests for leadership, by address.
inline constexpr std::string_view kCandidatesPrefix = "wf/candidates/";
inline constexpr std::string_view kSharingKey = "wf/sharing";
inline constexpr std::string_view kLeasesKey = "wf/leases";
inline constexpr std::string_view kJobPrefix = "wf/jobs/";
inline constexpr std::string_view kProgressPrefix = "wf/progress/";

std::string RecordKey(record_kind kind, std::string_view id);

// Returns the record that `key` identifies, with `revision`. `key` must be that
// of a job or its progress.
record_revision ToRecordRevision(std::string_view key, std::int64_t revision);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_RECORD_KEYS_H_
