// Parsing of JSON text from outside the process.
#ifndef WAXWINGFRONT_CORE_JSON_OBJECT_H_
#define WAXWINGFRONT_CORE_JSON_OBJECT_H_

#include <rapidjson/document.h>

#include <optional>
#include <string_view>

namespace waxwingfront::core {

// Maximum number of nested objects and lists. Code that visits a document may
// recurse over its levels.
inline constexpr int kMaxJsonDepth = 32;

// Parses `text` without recursion. Returns nullopt if it is not well-formed
// JSON in UTF-8, if it is not an object, or if it is nested too deeply.
std::optional<rapidjson::Document> ParseJsonObject(std::string_view text);

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_JSON_OBJECT_H_
