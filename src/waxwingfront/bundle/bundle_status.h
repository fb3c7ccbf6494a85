// Which version is signed off where, and which is in force there.
#ifndef WAXWINGFRONT_BUNDLE_BUNDLE_STATUS_H_
#define WAXWINGFRONT_BUNDLE_BUNDLE_STATUS_H_

#include <string>
#include <vector>

#include "waxwingfront/core/error.h"
#include "waxwingfront/schema/gen/bundle.pb.h"
#include "waxwingfront/schema/gen/peer.pb.h"

namespace waxwingfront::bundle {

// What a live entry answered when it was asked for its bundle.
struct entry_response {
  schema::entry_record entry;
  core::result<schema::bundle_reply> reply;
};

schema::bundle_status MakeBundleStatus(
    const schema::bundle_head& head,
    const std::vector<entry_response>& answers);

// Lines for a person.
std::string ToText(const schema::bundle_status& status);

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_STATUS_H_
