#include "waxwingfront/fleet/hold_pace.h"

#include <catch2/catch.hpp>

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

void Late(fleet::hold_pace& pace, milliseconds lateness) {
  for (int i = 0; i < 200; ++i) pace.Late(lateness);
}

TEST_CASE("holds are as frequent as set while the process is in time",
          "[fleet]") {
  fleet::hold_pace pace({});
  CHECK(pace.Pause() == milliseconds(100));
  CHECK(pace.BusyWait() == milliseconds(300));
  Late(pace, milliseconds(40));
  CHECK(pace.Pause() == milliseconds(100));
  CHECK(pace.BusyWait() == milliseconds(300));
}

TEST_CASE("a late process holds less often, within bounds, and recovers",
          "[fleet]") {
  fleet::hold_pace pace({});
  Late(pace, milliseconds(100));
  CHECK(pace.Pause() >= milliseconds(199));
  CHECK(pace.BusyWait() >= milliseconds(599));
  Late(pace, milliseconds(5000));
  CHECK(pace.Pause() == milliseconds(400));
  CHECK(pace.BusyWait() == milliseconds(900));
  Late(pace, milliseconds(10));
  CHECK(pace.Pause() == milliseconds(100));
}

}  // namespace
}  // namespace waxwingfront::tests
