// Finds attempts that a bundle no longer permits where they are bound.
#ifndef WAXWINGFRONT_SHARD_POLICY_VIOLATIONS_H_
#define WAXWINGFRONT_SHARD_POLICY_VIOLATIONS_H_

#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/schema/gen/shard_log.pb.h"
#include "waxwingfront/shard/shard_state.h"

namespace waxwingfront::shard {

// Attempts to evict so that the rest obeys `policy`: those of a batch class or
// customer that it lacks, those on workers that it does not permit to their
// class, and, on a worker where a class or batch work as a whole exceeds its
// share, as many as are needed, the lowest priority and then the newest job
// first. Workers that `view` lacks are passed over.
std::vector<schema::attempt_id> FindViolations(
    const shard_state& state, const hosts::host_view& view,
    const bundle::bundle_view& policy);

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_POLICY_VIOLATIONS_H_
