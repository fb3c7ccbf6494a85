// Validation of a bundle's content.
#ifndef WAXWINGFRONT_BUNDLE_BUNDLE_CHECK_H_
#define WAXWINGFRONT_BUNDLE_BUNDLE_CHECK_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "waxwingfront/bundle/document_check.h"
#include "waxwingfront/schema/gen/bundle.pb.h"

namespace waxwingfront::bundle {

// Maximum size of a bundle document. Store values and messages between entries
// are limited to 1 MB; half of that leaves space for the data sent along with
// the document.
inline constexpr std::size_t kMaxDocumentBytes = 524288;

struct checked_bundle {
  schema::bundle content;
  std::vector<bundle_problem> problems;
};

// Parses a bundle from JSON and validates it; reports every problem found.
checked_bundle CheckBundle(std::string_view json);

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_CHECK_H_
