// Finds attempts whose placement the bundle no longer permits.
#ifndef WAXWINGFRONT_SHARD_POLICY_VIOLATIONS_H_
#define WAXWINGFRONT_SHARD_POLICY_VIOLATIONS_H_

#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/schema/gen/shard_log.pb.h"
#include "waxwingfront/shard/shard_state.h"

namespace waxwingfront::shard {

// Returns the attempts to evict so that the remaining ones comply with
// `policy`: attempts of a batch class or customer that is not in `policy`,
// attempts on workers that their class may not use, and, on a worker where a
// class or all batch work exceeds its share, as many attempts as needed, lowest
// priority first, then newest job first. Workers that are not in `view` are
// ignored.
std::vector<schema::attempt_id> FindViolations(
    const shard_state& state, const hosts::host_view& view,
    const bundle::bundle_view& policy);

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_POLICY_VIOLATIONS_H_
