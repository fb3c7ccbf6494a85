#include "waxwingfront/core/error.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

namespace waxwingfront::core {
namespace {

// Guards against an error code that is missing from the table, which callers
// would see as "internal".
TEST_CASE("every error code has a unique name and an HTTP error status",
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

// Guards against an undocumented error type.
TEST_CASE("every error type is documented on the interface page", "[core]") {
  const auto root =
      std::filesystem::path(WAXWINGFRONT_TRACES).parent_path().parent_path();
  std::ifstream file(root / "docs" / "interface.md");
  const std::string page(std::istreambuf_iterator<char>(file), {});
  REQUIRE_FALSE(page.empty());
  for (int number = 0; number <= static_cast<int>(error_code::kInternal);
       ++number) {
    const auto code = static_cast<error_code>(number);
    const std::string name(ErrorName(code));
    CAPTURE(name);
    CHECK(page.find("`" + name + "`") != std::string::npos);
  }
}

}  // namespace
}  // namespace waxwingfront::core
