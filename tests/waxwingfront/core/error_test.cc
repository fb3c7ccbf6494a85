#include "waxwingfront/core/error.h"

#include <catch2/catch.hpp>
#include <set>

namespace waxwingfront::core {
namespace {

// Guards against an error code without a row, which callers would see as
// "internal".
TEST_CASE("every error code has a name and an HTTP status of its own kind",
          "[core]") {
  std::set<std::string_view> names;
  for (int number = 0; number <= static_cast<int>(error_code::kInternal);
       ++number) {
    const auto code = static_cast<error_code>(number);
    const std::string_view name = ErrorName(code);
    CAPTURE(name);
    CHECK(names.insert(name).second);
    CHECK(ErrorFromName(name) == code);
    CHECK(HttpStatus(code) >= 400);
    CHECK(HttpStatus(code) < 600);
  }
  CHECK_FALSE(ErrorFromName("nothing").has_value());
}

}  // namespace
}  // namespace waxwingfront::core
