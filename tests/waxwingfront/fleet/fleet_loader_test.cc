#include "waxwingfront/fleet/fleet_loader.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "support/fake_store.h"
#include "support/fleet_fixture.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/logging/event_log.h"

namespace waxwingfront::tests {
namespace {

// Guards against two jobs with one id, of which the first is freed but in use.
TEST_CASE("records that do not hold the job of their key are passed over",
          "[fleet]") {
  net::event_loop loop;
  fake_store shared(loop);
  const auto put = [&shared](std::string_view id, const std::string& value) {
    shared.Put(fleet::RecordKey(fleet::record_kind::kJob, id), value);
  };
  put("empty", "");
  put("other", JobOf("whole", 1, 1000).SerializeAsString());
  put("whole", JobOf("whole", 1, 1000).SerializeAsString());
  const fleet::store_services store = shared.Services();
  fleet::fleet_core core({});
  logging::event_log log({});
  bool loaded = false;
  fleet::fleet_loader loader(
      loop, store, core, core::milliseconds(10),
      {.now = [] { return At(0); }, .on_loaded = [&loaded] { loaded = true; }},
      log);
  loader.Start();
  REQUIRE(RunUntil(loop, [&loaded] { return loaded; }));
  CHECK(core.HasJob("whole"));
  CHECK(core.Levels().live_jobs == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
