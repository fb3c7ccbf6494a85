// Checks that a JSON document has the shape of a schema message.
#ifndef WAXWINGFRONT_BUNDLE_DOCUMENT_CHECK_H_
#define WAXWINGFRONT_BUNDLE_DOCUMENT_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

namespace google::protobuf {
class Descriptor;
}

namespace waxwingfront::bundle {

// Something in a document that has to be changed.
struct bundle_problem {
  // Path of the field, for example "batch_classes[1].host_share_percent";
  // "document" for the document as a whole.
  std::string field;
  // What is allowed there.
  std::string allowed;
};

// Reports every field of `json` that `type` does not have, that occurs twice,
// or that has a value of another kind. protobuf's own parser stops at the first
// problem and lets the last of two equal keys win.
std::vector<bundle_problem> CheckDocument(
    std::string_view json, const google::protobuf::Descriptor& type);

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_DOCUMENT_CHECK_H_
