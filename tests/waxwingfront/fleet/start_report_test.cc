#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "support/driver_scene.h"
#include "support/pipe_pair.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

schema::fleet_job LongRunningJob() {
  schema::fleet_job job = JobOf("job", 1, 1000);
  job.mutable_steps(0)->set_long_running(true);
  return job;
}

// Places a waiting long-running task, which is collected with others for a
// while, and returns its start.
fleet::orders PlaceWaiting(driver_scene& scene) {
  constexpr milliseconds kCollected{1600};
  scene.core.Plan({.now = core::Now()});
  RunFor(scene.loop, kCollected);
  scene.core.Plan({.now = core::Now()});
  scene.Store();
  scene.driver.Hold("a");
  RunFor(scene.loop, milliseconds(20));
  return scene.core.TakeOrders({.now = core::Now()});
}

TEST_CASE("a start that is held back is logged with its cause and its wait",
          "[fleet]") {
  const pipe_pair stream;
  // Lines on long-running tasks are urgent, and no other line is left.
  driver_scene scene({.max_lines_per_second = 0, .descriptor = stream.ends[1]});
  scene.driver.HoldAll();
  scene.core.Submit(LongRunningJob(), {.now = core::Now()});
  const fleet::orders decided = PlaceWaiting(scene);
  REQUIRE(decided.starts.size() == 1);
  RunFor(scene.loop, milliseconds(50));
  scene.may_order = false;
  scene.driver.Send(decided);
  scene.log.Flush();
  const std::string text = stream.Read();
  CHECK(text.find("start_held_back") != std::string::npos);
  CHECK(text.find(R"("outcome":"not_sent")") != std::string::npos);
  const std::string name = R"("waited_ms":)";
  const std::size_t found = text.find(name);
  REQUIRE(found != std::string::npos);
  CHECK(std::stoi(text.substr(found + name.size())) >= 50);
}

TEST_CASE("a start that is not confirmed is logged with its outcome",
          "[fleet]") {
  const pipe_pair stream;
  driver_scene scene({.max_lines_per_second = 0, .descriptor = stream.ends[1]});
  scene.driver.HoldAll();
  scene.start_outcome = fleet::start_outcome::kNoCapacity;
  scene.core.Submit(LongRunningJob(), {.now = core::Now()});
  scene.driver.Send(PlaceWaiting(scene));
  scene.log.Flush();
  const std::string text = stream.Read();
  CHECK(text.find("start_not_confirmed") != std::string::npos);
  CHECK(text.find(R"("outcome":"no_capacity")") != std::string::npos);
}

TEST_CASE("the time until a start is sent or held back is measured",
          "[fleet]") {
  driver_scene scene;
  std::map<fleet::load_stage, int> stages;
  scene.core.Runs().Restarts().on_stage = [&stages](fleet::load_stage stage,
                                                    auto) { ++stages[stage]; };
  scene.driver.HoldAll();
  scene.start_outcome = fleet::start_outcome::kNoCapacity;
  scene.core.Submit(LongRunningJob(), {.now = core::Now()});
  scene.driver.Send(PlaceWaiting(scene));
  REQUIRE(scene.starts.size() == 1);
  CHECK(stages.empty());
  scene.core.FindExecutor("a")->avoid_until = {};
  const fleet::orders decided = PlaceWaiting(scene);
  scene.may_order = GENERATE(true, false);
  scene.driver.Send(decided);
  CHECK(stages[fleet::load_stage::kRestartSend] == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
