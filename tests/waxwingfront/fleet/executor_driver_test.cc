#include "waxwingfront/fleet/executor_driver.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "support/driver_scene.h"
#include "support/fleet_fixture.h"
#include "support/loop_runner.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("unanswered holds do not extend the lease", "[fleet]") {
  driver_scene scene;
  scene.driver.HoldAll();
  REQUIRE(RunUntil(scene.loop, [&] { return !scene.holds.empty(); }));
  scene.core.Submit(JobOf("job", 1, 1000), {.now = core::Now()});
  scene.core.Plan({.now = core::Now()});
  const fleet::write_batch batch = scene.core.Journal().NextBatch(15);
  scene.core.Journal().Stored(batch.number, 2, {.now = core::Now()});
  scene.unresponsive = true;
  scene.driver.Send(scene.core.TakeOrders({.now = core::Now()}));
  REQUIRE(RunUntil(scene.loop, [&] { return scene.holds.size() >= 6; }));
  const std::int64_t bound = scene.core.FindExecutor("a")->deadline_sent_ms;
  scene.holds.clear();
  REQUIRE(RunUntil(scene.loop, [&] { return scene.holds.size() >= 5; }));
  CHECK(scene.core.FindExecutor("a")->deadline_sent_ms == bound);
  for (const fleet::hold_request& hold : scene.holds) {
    CHECK(hold.deadline_ms == 0);
  }
}

TEST_CASE("an executor that was out of contact gets no acknowledgement of ends",
          "[fleet]") {
  // It may be a new incarnation, which numbers its ends from 1 again.
  driver_scene scene;
  scene.driver.HoldAll();
  REQUIRE(RunUntil(scene.loop, [&] { return !scene.holds.empty(); }));
  scene.core.FindExecutor("a")->acknowledged = 40;
  scene.core.FindExecutor("a")->in_contact = false;
  scene.unresponsive = true;
  scene.holds.clear();
  scene.driver.HoldAll();
  REQUIRE(RunUntil(scene.loop, [&] { return scene.holds.size() >= 3; }));
  for (const fleet::hold_request& hold : scene.holds) {
    CHECK(hold.acknowledged == 0);
  }
}

TEST_CASE(
    "a late response of the same incarnation restores contact with its "
    "executor",
    "[fleet]") {
  driver_scene scene;
  scene.driver.HoldAll();
  REQUIRE(RunUntil(scene.loop, [&] { return !scene.holds.empty(); }));
  scene.unresponsive = true;
  scene.holds.clear();
  scene.core.FindExecutor("a")->in_contact = false;
  scene.driver.HoldAll();
  REQUIRE(RunUntil(scene.loop, [&] { return scene.callbacks.size() >= 2; }));
  scene.callbacks[1](fleet::hold_report{.born_ms = 2, .clock_ms = 9});
  CHECK_FALSE(scene.core.FindExecutor("a")->in_contact);
  scene.callbacks[1](fleet::hold_report{.born_ms = 1, .clock_ms = 9});
  CHECK(scene.core.FindExecutor("a")->in_contact);
  CHECK(scene.core.FindExecutor("a")->clock->clock_ms == 9);
  // The first hold is older than the one that got a response.
  scene.callbacks[0](fleet::hold_report{.born_ms = 1, .clock_ms = 4});
  CHECK(scene.core.FindExecutor("a")->clock->clock_ms == 9);
}

TEST_CASE("a leader whose lease is over sends no hold and no start",
          "[fleet]") {
  driver_scene scene;
  scene.may_order = false;
  scene.driver.HoldAll();
  scene.driver.Send({.starts = {{.executor = "a", .task = {.job = "job"}}}});
  RunFor(scene.loop, milliseconds(50));
  CHECK(scene.holds.empty());
  CHECK(scene.starts.empty());
}

TEST_CASE("a new leader limits the number of first holds in flight",
          "[fleet]") {
  driver_scene scene;
  for (char id = 'b'; id <= 'z'; ++id) scene.AddExecutor({id});
  scene.delay_responses = true;
  scene.driver.HoldAll();
  CHECK(scene.holds.size() == kFirstHolds);
  for (std::size_t i = 0; i < scene.callbacks.size(); ++i) {
    const auto respond = scene.callbacks[i];
    respond(scene.report);
    CHECK(scene.holds.size() <= i + 1 + kFirstHolds);
  }
  CHECK(scene.holds.size() == scene.core.Executors().size());
}

TEST_CASE("a new leader first contacts the executors whose runs may lapse",
          "[fleet]") {
  driver_scene scene;
  for (char id = 'b'; id <= 'y'; ++id) scene.AddExecutor({id});
  scene.AddExecutor("z", 16'000);
  scene.driver.HoldAll();
  scene.SubmitAndStart(JobOf("job", 1, 10'000));
  REQUIRE(scene.starts.size() == 1);
  // The state after a leader change.
  for (const auto& [id, executor] : scene.core.Executors()) {
    scene.core.FindExecutor(id)->reached = false;
    scene.core.FindExecutor(id)->in_contact = false;
  }
  fleet::executor_driver next(
      scene.loop, scene.executors, scene.core, 8,
      {.max_first_holds = kFirstHolds},
      {.may_order = [] { return true; },
       .on_fenced = [] {},
       .on_progress = [] {},
       .now = [] { return fleet::moment{.now = core::Now()}; }},
      scene.log);
  scene.delay_responses = true;
  scene.holds.clear();
  next.HoldAll();
  REQUIRE_FALSE(scene.holds.empty());
  CHECK(scene.holds.front().executor == scene.starts.front().executor);
}

TEST_CASE("unresponsive executors do not delay holds to other executors",
          "[fleet]") {
  driver_scene scene;
  for (char id = 'b'; id <= 'z'; ++id) scene.AddExecutor({id});
  scene.unresponsive = true;
  scene.driver.HoldAll();
  // Each executor gets one hold before any gets a second.
  REQUIRE(scene.holds.size() >= scene.core.Executors().size());
  std::set<std::string> held;
  for (std::size_t i = 0; i < scene.core.Executors().size(); ++i) {
    held.insert(scene.holds[i].executor);
  }
  CHECK(held.size() == scene.core.Executors().size());
}

TEST_CASE("ends that are not stored yet are not requested repeatedly",
          "[fleet]") {
  driver_scene scene;
  scene.driver.HoldAll();
  scene.delay_responses = true;
  scene.SubmitAndStart(JobOf("job", 2, 1000));
  REQUIRE(scene.starts.size() == 2);
  scene.report.ended = {{.number = 1,
                         .task = scene.starts[0].task,
                         .run = 1,
                         .how = fleet::run_end::kDone}};
  scene.report.running = {{.task = scene.starts[1].task, .run = 1}};
  const fleet::executor_state& executor = *scene.core.FindExecutor("a");
  scene.AnswerHold();
  REQUIRE(executor.processed == 1);
  scene.holds.clear();
  RunFor(scene.loop, milliseconds(100));
  CHECK(scene.holds.size() <= 1);
  scene.Store();
  scene.driver.OnStored();
  REQUIRE(RunUntil(scene.loop, [&] {
    return !scene.holds.empty() && scene.holds.back().acknowledged == 1;
  }));
}

TEST_CASE("an executor that runs nothing has no hold in flight", "[fleet]") {
  driver_scene scene;
  scene.driver.HoldAll();
  scene.delay_responses = true;
  scene.SubmitAndStart(JobOf("job", 1, 1000));
  REQUIRE(scene.starts.size() == 1);
  scene.report.ended = {{.number = 1,
                         .task = scene.starts[0].task,
                         .run = 1,
                         .how = fleet::run_end::kDone}};
  const fleet::executor_state& executor = *scene.core.FindExecutor("a");
  scene.AnswerHold();
  REQUIRE(executor.processed == 1);
  scene.holds.clear();
  for (int i = 0; i < 5; ++i) {
    RunFor(scene.loop, milliseconds(100));
    scene.driver.HoldAll();
  }
  CHECK(scene.holds.empty());
}

// Fails the holds from index `from` on until none is left or one goes to `id`.
// Returns the number of holds that went to other executors before it.
std::size_t HoldsBefore(driver_scene& scene, std::size_t from,
                        const std::string& id) {
  std::size_t others = 0;
  for (std::size_t i = from; i < scene.holds.size(); ++i) {
    if (scene.holds[i].executor == id) return others;
    ++others;
    const auto respond = scene.callbacks[i];
    respond(core::Failure(core::error_code::kUnreachable, "cut off"));
    RunFor(scene.loop, milliseconds(2));
    if (others > 4 * scene.core.Executors().size()) break;
  }
  return others;
}

TEST_CASE(
    "an executor that missed one response is held before unreachable ones",
    "[fleet]") {
  driver_scene scene;
  for (char id = 'b'; id <= 'z'; ++id) scene.AddExecutor({id});
  scene.driver.HoldAll();
  scene.delay_responses = true;
  scene.holds.clear();
  scene.SubmitAndStart(JobOf("job", 1, 1000));
  REQUIRE(scene.starts.size() == 1);
  REQUIRE(RunUntil(scene.loop, [&] { return scene.holds.size() == 1; }));
  const std::string target = scene.starts[0].executor;
  for (const auto& [id, executor] : scene.core.Executors()) {
    scene.core.FindExecutor(id)->in_contact = id == target;
  }
  scene.driver.HoldAll();
  // The holds to all other executors fail and are sent again.
  for (std::size_t i = 1; i < scene.core.Executors().size(); ++i) {
    REQUIRE(i < scene.holds.size());
    const auto respond = scene.callbacks[i];
    respond(core::Failure(core::error_code::kUnreachable, "cut off"));
  }
  RunFor(scene.loop, milliseconds(20));
  const std::size_t sent = scene.core.Executors().size();
  REQUIRE(scene.holds.size() == sent + kFirstHolds);
  const auto fail_hold = scene.callbacks[0];
  fail_hold(core::Failure(core::error_code::kOutcomeUnknown, "no response"));
  RunFor(scene.loop, milliseconds(20));
  // Only the holds already in flight precede it.
  CHECK(HoldsBefore(scene, sent, target) == kFirstHolds);
}

TEST_CASE(
    "a response from an executor's old address ends no run at its new one",
    "[fleet]") {
  driver_scene scene;
  scene.driver.HoldAll();
  REQUIRE(RunUntil(scene.loop, [&] { return !scene.holds.empty(); }));
  scene.delay_responses = true;
  scene.SubmitAndStart(JobOf("before", 1, 1000));
  REQUIRE(RunUntil(scene.loop, [&] { return scene.callbacks.size() == 1; }));
  scene.core.SetExecutor({.id = "a",
                          .address = "a2",
                          .service = "s",
                          .capacity = {.processor_milli = 8000}});
  scene.SubmitAndStart(JobOf("after", 1, 1000));
  REQUIRE(scene.starts.size() == 2);
  int over = 0;
  scene.core.Runs().on_run_ended = [&over](const fleet::task_state&,
                                           fleet::run_outcome,
                                           fleet::moment) { ++over; };
  const auto respond = scene.callbacks[0];
  respond(core::Failure(core::error_code::kOtherIncarnation, "another"));
  CHECK(over == 0);
  CHECK_FALSE(scene.core.FindExecutor("a")->in_contact);
}

// Guards against stops that multiply while their responses are late.
TEST_CASE("a stop is not sent again while its call is in flight", "[fleet]") {
  constexpr milliseconds kRetry{600};
  driver_scene scene;
  scene.driver.HoldAll();
  scene.SubmitAndStart(JobOf("job", 1, 1000));
  REQUIRE(scene.starts.size() == 1);
  fleet::moment at{.now = core::Now()};
  const auto repeat_stops = [&] {
    at.now += kRetry;
    scene.core.Tick(at);
    scene.driver.Send(scene.core.TakeOrders(at));
  };
  scene.core.Cancel("job", at);
  scene.driver.Send(scene.core.TakeOrders(at));
  REQUIRE(scene.stops.size() == 1);
  repeat_stops();
  repeat_stops();
  CHECK(scene.stops.size() == 1);
  SECTION("it is sent again once its call has failed") {
    scene.stop_callbacks[0](fleet::order_status::kFailed);
    repeat_stops();
    CHECK(scene.stops.size() == 2);
  }
  SECTION("a stop at another address is another call") {
    scene.core.SetExecutor({.id = "a",
                            .address = "a2",
                            .service = "s",
                            .capacity = {.processor_milli = 8000}});
    repeat_stops();
    CHECK(scene.stops.size() == 2);
  }
}

// Guards against a link that starts which were never sent keep occupied.
TEST_CASE("starts that are held back make room for others", "[fleet]") {
  constexpr std::uint32_t kTasks = 100;
  constexpr std::size_t kPayload = 3500;
  driver_scene scene({.descriptor = -1}, {.starts = {.link_mbps = 10.0}});
  scene.AddExecutor("a", kTasks);
  scene.driver.HoldAll();
  REQUIRE(RunUntil(scene.loop, [&] { return !scene.holds.empty(); }));
  schema::fleet_job job = JobOf("job", kTasks, 1);
  job.set_payload(std::string(kPayload, 'x'));
  scene.core.Submit(job, {.now = core::Now()});
  scene.core.Plan({.now = core::Now()});
  scene.Store();
  scene.may_order = false;
  const fleet::orders first = scene.core.TakeOrders({.now = core::Now()});
  REQUIRE(!first.starts.empty());
  CHECK(scene.core.TakeOrders({.now = core::Now()}).starts.empty());
  CHECK_FALSE(scene.driver.Send(first));
  scene.may_order = true;
  const fleet::orders next = scene.core.TakeOrders({.now = core::Now()});
  CHECK(!next.starts.empty());
  CHECK(scene.driver.Send(next));
  CHECK(scene.starts.size() == next.starts.size());
}

}  // namespace
}  // namespace waxwingfront::tests
