// Checks of a bundle's content.
#ifndef WAXWINGFRONT_BUNDLE_BUNDLE_CHECK_H_
#define WAXWINGFRONT_BUNDLE_BUNDLE_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/schema/gen/bundle.pb.h"

namespace waxwingfront::bundle {

// Something in a bundle that has to be changed before it can be signed off.
struct bundle_problem {
  // Path of the field, for example "batch_classes[1].host_share_percent".
  std::string field;
  // What is allowed there.
  std::string allowed;
};

struct checked_bundle {
  schema::bundle content;
  std::vector<bundle_problem> problems;
};

// Reads a bundle from JSON and reports every problem found.
checked_bundle CheckBundle(std::string_view json);

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_CHECK_H_
