#include <catch2/catch.hpp>
TEST_CASE("x") { REQUIRE(true); }
