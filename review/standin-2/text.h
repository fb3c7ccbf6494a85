// Text helpers of the stand-ins: JSON fields, base64 and words of a spec.
#ifndef WAXWINGFRONT_REVIEW_STANDIN_2_TEXT_H_
#define WAXWINGFRONT_REVIEW_STANDIN_2_TEXT_H_

#include <rapidjson/document.h>

#include <cstdint>
#include <string>

namespace waxwingfront::review_2 {

std::string Encode(const std::string& bytes);
std::string Decode(const std::string& text);
// Returns the text as a JSON string.
std::string Quote(const std::string& text);

// Returns false unless the text is a JSON object.
bool Parse(const std::string& text, rapidjson::Document& body);
// Return 0 or an empty string if there is no such field of this type.
std::int64_t Number(const rapidjson::Value& object, const char* name);
std::string Text(const rapidjson::Value& object, const char* name);

// Returns the value of a word NAME=VALUE in `spec`, or `missing`.
double Word(const std::string& spec, const std::string& name, double missing);

}  // namespace waxwingfront::review_2

#endif  // WAXWINGFRONT_REVIEW_STANDIN_2_TEXT_H_
