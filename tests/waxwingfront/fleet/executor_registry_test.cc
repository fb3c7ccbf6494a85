#include "waxwingfront/fleet/executor_registry.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"
#include "support/loop_runner.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// A store with one executor; the test responds to its watches.
struct registry_scene {
  registry_scene() {
    store.executors_prefix = "executors/";
    store.range = [](std::string_view, std::string_view, auto done) {
      done(fleet::store_page{.items = {{.key = "executors/a", .revision = 1}},
                             .at = 1});
    };
    store.watch = [this](std::string_view, std::int64_t, milliseconds time,
                         auto done) {
      wait = time;
      watches.push_back(done);
    };
    store.read_executor = [](std::string_view, std::string_view) {
      return core::result<fleet::executor_info>(
          fleet::executor_info{.id = "a", .address = "a", .service = "s"});
    };
    registry.Start();
  }

  // Responds to the open watch with `changes` changes.
  void Respond(std::size_t changes) {
    fleet::store_changes response{.at = ++revision};
    for (std::size_t i = 0; i < changes; ++i) {
      response.changes.push_back({.key = "executors/a", .value = "entry"});
    }
    const auto done = watches.back();
    done(response);
  }

  // True if work may be placed at `ms`.
  bool MayPlaceAt(std::int64_t ms) {
    RecordLeases(core, At(ms).now);
    return core.Deadlines().MayPlace(At(ms).now);
  }

  net::event_loop loop;
  logging::event_log log{{.descriptor = -1}};
  fleet::store_services store;
  std::vector<std::function<void(core::result<fleet::store_changes>)>> watches;
  // Maximum duration of the latest watch.
  milliseconds wait{0};
  std::int64_t revision = 1;
  fleet::fleet_core core{{}};
  std::int64_t now_ms = 0;
  fleet::executor_registry registry{loop,
                                    store,
                                    core,
                                    {},
                                    {.now = [this] { return At(now_ms); },
                                     .on_listed = [] {},
                                     .on_change = [] {}},
                                    log};
};

TEST_CASE("entries are not confirmed by a response that may be truncated",
          "[fleet]") {
  registry_scene scene;
  scene.now_ms = 20'000;
  // Responds to the watch that was sent at the start.
  scene.Respond(0);
  scene.Respond(500);
  CHECK_FALSE(scene.MayPlaceAt(20'000));
  scene.Respond(3);
  CHECK(scene.MayPlaceAt(20'000));
}

// Guards against a leader that never places work while no entry changes.
TEST_CASE("a leader that reads responses late places work between two watches",
          "[fleet]") {
  constexpr milliseconds kLateness{500};
  constexpr std::int64_t kPlayMs = 20'000;
  registry_scene scene;
  int placed = 0;
  while (scene.now_ms < kPlayMs) {
    scene.now_ms += (scene.wait + kLateness).count();
    scene.Respond(0);
    if (scene.MayPlaceAt(scene.now_ms)) ++placed;
  }
  CHECK(placed > 0);
}

}  // namespace
}  // namespace waxwingfront::tests
