// Validation of submitted jobs.
#ifndef WAXWINGFRONT_JOBS_JOB_CHECK_H_
#define WAXWINGFRONT_JOBS_JOB_CHECK_H_

#include <set>
#include <string>
#include <string_view>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/schema/gen/job.pb.h"

namespace waxwingfront::jobs {

inline constexpr std::size_t kMaxJobIdLength = 128;
inline constexpr std::string_view kJobIdRule =
    "id: 1 to 128 characters of a-z, A-Z, 0-9, '-', '_' and '.'";

// True if `id` satisfies `kJobIdRule`.
bool IsValidJobId(std::string_view id);

// Checks the job's names, sizes, counts and its task size against the
// customer's quota. Uses the bundle but not the hosts.
core::result<void> CheckJob(const schema::job_spec& spec,
                            const bundle::bundle_view& policy);

// Returns the shards with at least one worker that could run one task of the
// job if nothing else ran there. Fails with `kUnplaceable` if there are none.
core::result<std::set<std::string>> PlaceableShards(
    const schema::job_spec& spec, const bundle::bundle_view& policy,
    const hosts::host_view& hosts);

}  // namespace waxwingfront::jobs

#endif  // WAXWINGFRONT_JOBS_JOB_CHECK_H_
