#include "soak/run_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

namespace waxwingfront::tests {
namespace {

using soak::milliseconds;

constexpr milliseconds kLease{40};

// A run has ended `done`, and nobody has taken note of it.
struct ended_run_scene {
  ended_run_scene() {
    table.Start(R"({"task":"j.0.0.0","run":1,"spec":"ms=0 end=done",)"
                R"("fencing_token":1,"deadline_ms":)" +
                Deadline() + "}");
    table.Advance();
    REQUIRE(events == std::vector<std::string>{"begun", "done"});
    events.clear();
  }

  std::string Deadline() const {
    return std::to_string(table.ClockMs() + kLease.count());
  }

  void Hold(int last_seen) {
    table.Advance();
    table.Note(R"({"fencing_token":1,"last_seen":)" +
               std::to_string(last_seen) + R"(,"deadline_ms":)" + Deadline() +
               "}");
  }

  std::vector<std::string> events;
  soak::run_table table{
      {},
      1,
      [this](const std::string& what, const std::string& /*task*/,
             std::int64_t /*run*/,
             const std::string& /*detail*/) { events.push_back(what); }};
};

TEST_CASE("an end is taken note of while its executor's lease holds",
          "[soak]") {
  ended_run_scene scene;
  scene.Hold(0);
  scene.Hold(1);
  CHECK(scene.events == std::vector<std::string>{"seen"});
}

TEST_CASE("an end from before a lapse of its executor's lease is never noted",
          "[soak]") {
  ended_run_scene scene;
  std::this_thread::sleep_for(2 * kLease);
  scene.Hold(0);
  scene.Hold(1);
  CHECK(scene.events == std::vector<std::string>{"seen_after_lapse"});
}

}  // namespace
}  // namespace waxwingfront::tests
