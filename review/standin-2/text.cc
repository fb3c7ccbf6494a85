#include "text.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdlib>
#include <string_view>

namespace waxwingfront::review_2 {
namespace {

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned kBitsPerDigit = 6;
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kGroup = 4;

}  // namespace

std::string Encode(const std::string& bytes) {
  std::string text;
  unsigned value = 0;
  unsigned bits = 0;
  for (const unsigned char byte : bytes) {
    value = value << kBitsPerByte | byte;
    bits += kBitsPerByte;
    while (bits >= kBitsPerDigit) {
      bits -= kBitsPerDigit;
      text += kDigits[value >> bits & 63U];
    }
    value &= (1U << bits) - 1;
  }
  if (bits > 0) text += kDigits[value << (kBitsPerDigit - bits) & 63U];
  while (text.size() % kGroup != 0) text += '=';
  return text;
}

std::string Decode(const std::string& text) {
  std::string bytes;
  unsigned value = 0;
  unsigned bits = 0;
  for (const char digit : text) {
    const std::size_t found = kDigits.find(digit);
    if (found == std::string_view::npos) break;
    value = value << kBitsPerDigit | static_cast<unsigned>(found);
    bits += kBitsPerDigit;
    if (bits >= kBitsPerByte) {
      bits -= kBitsPerByte;
      bytes += static_cast<char>(value >> bits & 255U);
      value &= (1U << bits) - 1;
    }
  }
  return bytes;
}

std::string Quote(const std::string& text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  return {buffer.GetString(), buffer.GetSize()};
}

bool Parse(const std::string& text, rapidjson::Document& body) {
  body.Parse(text.data(), text.size());
  return !body.HasParseError() && body.IsObject();
}

std::int64_t Number(const rapidjson::Value& object, const char* name) {
  const auto found = object.FindMember(name);
  return found != object.MemberEnd() && found->value.IsInt64()
             ? found->value.GetInt64()
             : 0;
}

std::string Text(const rapidjson::Value& object, const char* name) {
  const auto found = object.FindMember(name);
  return found != object.MemberEnd() && found->value.IsString()
             ? std::string(found->value.GetString(),
                           found->value.GetStringLength())
             : std::string();
}

double Word(const std::string& spec, const std::string& name, double missing) {
  const std::size_t at = (" " + spec).find(" " + name + "=");
  if (at == std::string::npos) return missing;
  return std::atof(spec.c_str() + at + name.size() + 1);
}

}  // namespace waxwingfront::review_2
