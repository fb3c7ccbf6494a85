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
  std::string safe;
  for (const char symbol : text.substr(0, limit)) {
    if (symbol >= kFirstPrintable && symbol <= kLastPrintable) {
      safe += symbol;
      continue;
    }
    const unsigned int value = static_cast<unsigned char>(symbol);
    safe += "\\x" + Poco::NumberFormatter::formatHex(value, kHexDigits);
  }
  if (text.size() > limit) safe += "...";
  return safe;
}

bool IsName(std::string_view text) {
  const bool fits = !text.empty() && text.size() <= kMaxNameLength;
  return fits &&
         text.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

}  // namespace waxwingfront::core
