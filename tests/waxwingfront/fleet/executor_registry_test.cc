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
    store.watch = [this](std::string_view, std::int64_t after,
                         milliseconds time, auto done) {
      watched_after = after;
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

  // Responds to the open watch with changes that cannot be read.
  void RespondUnreadable() {
    const auto done = watches.back();
    done(core::Failure(core::error_code::kProtocol, "unreadable"));
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
  // Maximum duration of the latest watch, and the revision that it began at.
  milliseconds wait{0};
  std::int64_t watched_after = 0;
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

// Guards against a leader that places nothing for its whole term.
TEST_CASE("a change that cannot be read does not stop placing", "[fleet]") {
  static constexpr std::int64_t kUnreadableRevision = 7;
  registry_scene scene;
  scene.store.range = [](std::string_view, std::string_view, auto done) {
    done(fleet::store_page{
        .items = {{.key = "executors/a", .revision = 1}},
        .unreadable = {{.key = "executors/b", .cause = "not base64"}},
        .at = kUnreadableRevision});
  };
  scene.now_ms = 20'000;
  REQUIRE_FALSE(scene.MayPlaceAt(20'000));
  scene.RespondUnreadable();
  REQUIRE(RunUntil(scene.loop, [&scene] { return scene.watches.size() == 2; }));
  CHECK(scene.watched_after == kUnreadableRevision);
  CHECK(scene.MayPlaceAt(20'000));
}

// Guards against lists as fast as the store sends them.
TEST_CASE("lists after changes that cannot be read become less and less often",
          "[fleet]") {
  constexpr milliseconds kTime{1000};
  // After 100, 300 and 700 ms.
  constexpr int kMaxLists = 3;
  registry_scene scene;
  int lists = 0;
  const auto list = scene.store.range;
  scene.store.range = [&](std::string_view prefix, std::string_view after,
                          auto done) {
    ++lists;
    list(prefix, after, done);
  };
  std::size_t answered = 0;
  RunUntil(
      scene.loop,
      [&] {
        if (answered < scene.watches.size()) {
          ++answered;
          scene.RespondUnreadable();
        }
        return false;
      },
      kTime);
  CHECK(lists > 0);
  CHECK(lists <= kMaxLists);
}

}  // namespace
}  // namespace waxwingfront::tests
