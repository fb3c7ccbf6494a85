#include "waxwingfront/core/text.h"

#include <Poco/NumberFormatter.h>

namespace waxwingfront::core {
namespace {

constexpr char kFirstPrintable = ' ';
constexpr char kLastPrintable = '~';
constexpr int kHexDigits = 2;

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

}  // namespace waxwingfront::core
