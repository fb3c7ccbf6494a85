// Checks of submitted jobs.
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

// Whether `id` keeps `kJobIdRule`.
bool IsValidJobId(std::string_view id);

// Checks a job against the bundle alone: names, sizes, counts and the
// customer's quota.
core::result<void> CheckJob(const schema::job_spec& spec,
                            const bundle::bundle_view& policy);

// Shards with a worker that could hold one task of the job if nothing else ran
// there. Fails with `kUnplaceable` if there is none.
core::result<std::set<std::string>> PlaceableShards(
    const schema::job_spec& spec, const bundle::bundle_view& policy,
    const hosts::host_view& hosts);

}  // namespace waxwingfront::jobs

#endif  // WAXWINGFRONT_JOBS_JOB_CHECK_H_
