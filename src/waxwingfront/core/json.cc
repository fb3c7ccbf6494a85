#include "waxwingfront/core/json.h"

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace waxwingfront::core {
namespace {

namespace json = google::protobuf::util;

std::string Serialize(const google::protobuf::Message& message, bool pretty) {
  json::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.add_whitespace = pretty;
  std::string text;
  // Serialisation fails only for `Any` messages of an unknown type, which the
  // schema does not use.
  static_cast<void>(json::MessageToJsonString(message, &text, options));
  return text;
}

}  // namespace

std::string ToJson(const google::protobuf::Message& message) {
  return Serialize(message, false);
}

std::string ToPrettyJson(const google::protobuf::Message& message) {
  return Serialize(message, true);
}

result<void> FromJson(std::string_view text, unknown_fields policy,
                      google::protobuf::Message& message) {
  json::JsonParseOptions options;
  options.ignore_unknown_fields = policy == unknown_fields::kIgnore;
  const auto status =
      json::JsonStringToMessage({text.data(), text.size()}, &message, options);
  if (!status.ok())
    return Failure(error_code::kInvalidRequest, std::string(status.message()));
  return {};
}

}  // namespace waxwingfront::core
