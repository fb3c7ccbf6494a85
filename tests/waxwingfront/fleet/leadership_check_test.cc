#include "waxwingfront/fleet/leadership_check.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "support/loop_runner.h"
#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

constexpr std::int64_t kToken = 7;
constexpr milliseconds kInterval{30};

// A process that leads with `kToken`, and a store whose reads get their
// responses when the test decides.
struct check_scene {
  check_scene() {
    store.get = [this](std::string_view key, auto done) {
      CHECK(key == fleet::kLeaderKey);
      reads.push_back(std::move(done));
    };
  }

  void Confirm() {
    check.Confirm([this](bool leads) { answers.push_back(leads); });
  }
  void ConfirmRecent() {
    check.ConfirmRecent([this](bool leads) { answers.push_back(leads); });
  }

  // Responds to the oldest read without a response.
  void Respond(std::int64_t revision) {
    REQUIRE(responses < reads.size());
    fleet::store_page page;
    page.items.push_back(
        {.key = std::string(fleet::kLeaderKey), .revision = revision});
    reads[responses++](page);
  }
  void Fail() {
    REQUIRE(responses < reads.size());
    reads[responses++](
        core::Failure(core::error_code::kStoreUnavailable, "no response"));
  }

  bool ReadBegins(std::size_t number) {
    return RunUntil(loop, [this, number] { return reads.size() == number; });
  }

  net::event_loop loop;
  fleet::store_services store;
  std::vector<std::function<void(core::result<fleet::store_page>)>> reads;
  std::size_t responses = 0;
  std::int64_t token = kToken;
  std::int64_t boot_ms = 1000;
  int losses = 0;
  std::vector<std::string> failures;
  std::vector<bool> answers;
  fleet::leadership_check check{
      loop,
      store,
      {.read_interval = kInterval},
      {.token = [this] { return token; },
       .on_lost = [this] { ++losses; },
       .on_failure =
           [this](std::string_view cause) { failures.emplace_back(cause); },
       .boot_time_ms = [this] { return boot_ms; }}};
};

TEST_CASE("a leader is confirmed only by the revision of its own key",
          "[fleet]") {
  check_scene scene;
  scene.Confirm();
  REQUIRE(scene.reads.size() == 1);
  CHECK(scene.answers.empty());
  SECTION("its own") {
    scene.Respond(kToken);
    CHECK(scene.answers == std::vector<bool>{true});
    CHECK(scene.losses == 0);
  }
  SECTION("a later leader's") {
    scene.Respond(kToken + 1);
    CHECK(scene.answers == std::vector<bool>{false});
    CHECK(scene.losses == 1);
  }
  SECTION("no key") {
    scene.Respond(0);
    CHECK(scene.answers == std::vector<bool>{false});
    CHECK(scene.losses == 1);
  }
  // The store may be down, and keep the key.
  SECTION("no response") {
    scene.Fail();
    CHECK(scene.answers == std::vector<bool>{false});
    CHECK(scene.losses == 0);
    CHECK(scene.failures == std::vector<std::string>{"no response"});
  }
}

// Guards against an answer by a read from before the request arrived.
TEST_CASE("a check is never answered by a read that began before it",
          "[fleet]") {
  check_scene scene;
  scene.Confirm();
  REQUIRE(scene.reads.size() == 1);
  scene.Confirm();
  scene.Confirm();
  scene.Respond(kToken);
  CHECK(scene.answers.size() == 1);
  REQUIRE(scene.ReadBegins(2));
  scene.Respond(kToken + 1);
  CHECK(scene.answers == std::vector<bool>{true, false, false});
}

// Guards against a read for each caller that asks for unknown jobs.
TEST_CASE("checks share reads, which keep their interval", "[fleet]") {
  constexpr int kChecks = 200;
  check_scene scene;
  const core::monotonic_time before = core::Now();
  for (int i = 0; i < kChecks; ++i) {
    scene.Confirm();
    if (scene.responses < scene.reads.size()) scene.Respond(kToken);
    RunFor(scene.loop, milliseconds(1));
  }
  const auto intervals = (core::Now() - before) / kInterval;
  CHECK(scene.reads.size() <= static_cast<std::size_t>(intervals) + 1);
  CHECK(scene.reads.size() > 1);
  if (scene.answers.size() < kChecks) {
    REQUIRE(RunUntil(
        scene.loop, [&scene] { return scene.responses < scene.reads.size(); }));
    scene.Respond(kToken);
  }
  CHECK(scene.answers == std::vector<bool>(kChecks, true));
}

TEST_CASE("a process that led anew since the check began is not confirmed",
          "[fleet]") {
  check_scene scene;
  scene.Confirm();
  scene.token = kToken + 2;
  scene.Respond(kToken);
  CHECK(scene.answers == std::vector<bool>{false});
  CHECK(scene.losses == 0);
  scene.token = 0;
  scene.Confirm();
  CHECK(scene.answers == std::vector<bool>{false, false});
  CHECK(scene.reads.size() == 1);
}

// Guards against counts that are older than the platform permits, on a machine
// that was suspended as well.
TEST_CASE("a recent check suffices for an answer that may be old", "[fleet]") {
  check_scene scene;
  const std::int64_t max_age =
      fleet::leadership_check_options().max_age.count();
  scene.ConfirmRecent();
  REQUIRE(scene.reads.size() == 1);
  // The read counts from its beginning.
  scene.boot_ms += max_age;
  scene.Respond(kToken);
  scene.ConfirmRecent();
  CHECK(scene.answers == std::vector<bool>{true, true});
  scene.boot_ms += 1;
  scene.ConfirmRecent();
  CHECK(scene.answers.size() == 2);
  REQUIRE(scene.ReadBegins(2));
  scene.Respond(kToken);
  CHECK(scene.answers.size() == 3);
  scene.token = kToken + 1;
  scene.ConfirmRecent();
  REQUIRE(scene.ReadBegins(3));
  scene.Respond(kToken + 1);
  CHECK(scene.answers == std::vector<bool>(4, true));
}

}  // namespace
}  // namespace waxwingfront::tests
