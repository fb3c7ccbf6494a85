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
  // Of a changed part: its changed fields, one each, for example
  // "modified: weight: 1 -> 2".
  std::vector<std::string> fields;
};

// Changes from `before` to `after`. The order of lists does not matter.
std::vector<bundle_change> DiffBundles(const schema::bundle& before,
                                       const schema::bundle& after);

// Lines for a person; one says that nothing changes if there is no change.
std::string ToText(const std::vector<bundle_change>& changes);

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_DIFF_H_
