// Status of a rollout: the signed-off version and the version in force, for
// each live entry.
#ifndef WAXWINGFRONT_BUNDLE_BUNDLE_STATUS_H_
#define WAXWINGFRONT_BUNDLE_BUNDLE_STATUS_H_

#include <string>
#include <vector>

#include "waxwingfront/core/error.h"
#include "waxwingfront/schema/gen/bundle.pb.h"
#include "waxwingfront/schema/gen/peer.pb.h"

namespace waxwingfront::bundle {

// A live entry's response to a query for its bundle.
struct entry_response {
  schema::entry_record entry;
  core::result<schema::bundle_reply> reply;
};

// Compares the versions in force at the live entries with `head`.
schema::bundle_status MakeBundleStatus(
    const schema::bundle_head& head,
    const std::vector<entry_response>& responses);

// Formats the status as human-readable lines.
std::string ToText(const schema::bundle_status& status);

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_STATUS_H_
