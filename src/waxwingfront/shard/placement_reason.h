// Explains why a job cannot be placed under the current bundle and host list.
#ifndef WAXWINGFRONT_SHARD_PLACEMENT_REASON_H_
#define WAXWINGFRONT_SHARD_PLACEMENT_REASON_H_

#include <string>
#include <string_view>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/schema/gen/job.pb.h"

namespace waxwingfront::shard {

// Returns one sentence, or an empty string if some worker of `shard` could hold
// one task when idle.
std::string UnplaceableReason(const schema::job_spec& spec,
                              const bundle::bundle_view& policy,
                              const hosts::host_view& hosts,
                              std::string_view shard);

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_PLACEMENT_REASON_H_
