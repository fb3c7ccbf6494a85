#include "waxwingfront/core/text.h"

#include <Poco/NumberFormatter.h>

namespace waxwingfront::core {
namespace {

constexpr char kFirstPrintable = ' ';
constexpr char kLastPrintable = '~';
constexpr int kHexDigits = 2;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyz0123456789-";

}  // namespace

std::string Printable(std::string_view text, std::size_t limit) {
  std::string escaped;
  for (const char character : text.substr(0, limit)) {
    if (character >= kFirstPrintable && character <= kLastPrintable) {
      escaped += character;
      continue;
    }
    const unsigned int value = static_cast<unsigned char>(character);
    escaped += "\\x" + Poco::NumberFormatter::formatHex(value, kHexDigits);
  }
  if (text.size() > limit) escaped += "...";
  return escaped;
}

bool IsName(std::string_view text) {
  const bool valid_length = !text.empty() && text.size() <= kMaxNameLength;
  return valid_length &&
         text.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

}  // namespace waxwingfront::core
