#include "waxwingfront/fleet/hold_pace.h"

#include <catch2/catch.hpp>

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

void RecordLateness(fleet::hold_pace& pace, milliseconds lateness) {
  for (int i = 0; i < 200; ++i) pace.RecordLateness(lateness);
}

TEST_CASE("holds keep their configured pace while the process does not lag",
          "[fleet]") {
  fleet::hold_pace pace({});
  CHECK(pace.Pause() == milliseconds(100));
  CHECK(pace.BusyWait() == milliseconds(300));
  RecordLateness(pace, milliseconds(40));
  CHECK(pace.Pause() == milliseconds(100));
  CHECK(pace.BusyWait() == milliseconds(300));
}

TEST_CASE("a lagging process sends fewer holds, within bounds, and recovers",
          "[fleet]") {
  fleet::hold_pace pace({});
  RecordLateness(pace, milliseconds(100));
  CHECK(pace.Pause() >= milliseconds(199));
  CHECK(pace.BusyWait() >= milliseconds(599));
  RecordLateness(pace, milliseconds(5000));
  CHECK(pace.Pause() == milliseconds(400));
  CHECK(pace.BusyWait() == milliseconds(900));
  RecordLateness(pace, milliseconds(10));
  CHECK(pace.Pause() == milliseconds(100));
}

}  // namespace
}  // namespace waxwingfront::tests
