#include "waxwingfront/core/text.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace waxwingfront::core {
namespace {

// Guards against forged log lines and invalid UTF-8 in JSON errors.
TEST_CASE("untrusted text is escaped to one line of printable ASCII",
          "[core]") {
  CHECK(Printable("a plain id-1") == "a plain id-1");
  CHECK(Printable("a\nI1204 front: forged") == "a\\x0AI1204 front: forged");
  CHECK(Printable(std::string("\0\x1b\xff", 3)) == "\\x00\\x1B\\xFF");
  CHECK(Printable("abcdef", 3) == "abc...");
  rc::prop("only printable ASCII bytes remain", [](std::string text) {
    const std::string escaped = Printable(text);
    RC_ASSERT(std::all_of(escaped.begin(), escaped.end(), [](char character) {
      return character >= ' ' && character <= '~';
    }));
  });
}

}  // namespace
}  // namespace waxwingfront::core
