// Conversion between schema messages and JSON.
#ifndef WAXWINGFRONT_CORE_JSON_H_
#define WAXWINGFRONT_CORE_JSON_H_

#include <string>
#include <string_view>

#include "waxwingfront/core/error.h"

namespace google::protobuf {
class Message;
}

namespace waxwingfront::core {

enum class unknown_fields { kRefuse, kIgnore };

// Returns one-line JSON with the schema's field names and all fields that have
// a value.
std::string ToJson(const google::protobuf::Message& message);

// Like `ToJson`, but indented over several lines.
std::string ToPrettyJson(const google::protobuf::Message& message);

// Parses `text` into `message`. Fails with `kInvalidRequest`.
result<void> FromJson(std::string_view text, unknown_fields policy,
                      google::protobuf::Message& message);

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_JSON_H_
