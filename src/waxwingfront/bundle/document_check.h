// Validation of a JSON document against the type of a schema message.
#ifndef WAXWINGFRONT_BUNDLE_DOCUMENT_CHECK_H_
#define WAXWINGFRONT_BUNDLE_DOCUMENT_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

namespace google::protobuf {
class Descriptor;
}

namespace waxwingfront::bundle {

// A validation error in a document.
struct bundle_problem {
  // Path of the field, for example "batch_classes[1].host_share_percent", or
  // "document" for the whole document.
  std::string field;
  // Description of the values that the field may have.
  std::string allowed;
};

// Reports every unknown field, duplicate field and value of the wrong type in
// `json`. The protobuf parser is not sufficient, because it stops at the first
// problem and uses the last of two duplicate keys.
std::vector<bundle_problem> CheckDocument(
    std::string_view json, const google::protobuf::Descriptor& type);

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_DOCUMENT_CHECK_H_
