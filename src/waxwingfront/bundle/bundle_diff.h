// Differences between two bundles, for operators.
#ifndef WAXWINGFRONT_BUNDLE_BUNDLE_DIFF_H_
#define WAXWINGFRONT_BUNDLE_BUNDLE_DIFF_H_

#include <string>
#include <vector>

#include "waxwingfront/schema/gen/bundle.pb.h"

namespace waxwingfront::bundle {

enum class change_kind { kAdded, kRemoved, kChanged };

struct bundle_change {
  change_kind kind = change_kind::kChanged;
  // "site", "weights", "service", "batch class" or "customer".
  std::string part;
  // Empty for the site and the weights.
  std::string name;
  // Changed fields of a changed part, one entry per field, for example
  // "modified: weight: 1 -> 2".
  std::vector<std::string> fields;
};

// Returns the changes from `before` to `after`. The order of list entries is
// ignored.
std::vector<bundle_change> DiffBundles(const schema::bundle& before,
                                       const schema::bundle& after);

// Formats changes as human-readable lines; "no change" if there are none.
std::string ToText(const std::vector<bundle_change>& changes);

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_DIFF_H_
