// An executor driver whose executors tests answer for.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_DRIVER_SCENE_H_
#define WAXWINGFRONT_TESTS_SUPPORT_DRIVER_SCENE_H_

#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "support/fleet_fixture.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/executor_driver.h"

namespace waxwingfront::tests {

inline constexpr std::size_t kFirstHolds = 4;

struct driver_scene {
  explicit driver_scene(logging::event_log_options lines = {.descriptor = -1},
                        const fleet::fleet_options& options = {})
      : log(lines),
        executors({.hold =
                       [this](const fleet::hold_request& request, auto done) {
                         holds.push_back(request);
                         if (delay_responses) {
                           callbacks.push_back(done);
                           return;
                         }
                         if (unresponsive) {
                           callbacks.push_back(done);
                           done(core::Failure(core::error_code::kOutcomeUnknown,
                                              "no response"));
                           return;
                         }
                         done(report);
                       },
                   .start =
                       [this](std::string_view, const fleet::start_order& order,
                              std::int64_t, std::int64_t, auto done) {
                         starts.push_back(order);
                         done(start_outcome);
                       },
                   .stop =
                       [this](std::string_view, const fleet::stop_order& order,
                              std::int64_t, auto done) {
                         stops.push_back(order);
                         stop_callbacks.push_back(done);
                       },
                   .pace = [](auto...) {}}),
        core(options),
        driver(loop, executors, core, 7,
               {.max_first_holds = kFirstHolds,
                .pace = {.pause = core::milliseconds(5)},
                .retry = core::milliseconds(5)},
               {.may_order = [this] { return may_order; },
                .on_fenced = [] {},
                .on_progress = [] {},
                .now = [] { return fleet::moment{.now = core::Now()}; }},
               log) {
    core.SetManifest(ManifestOf({{}}));
    core.FinishRestore({.now = core::Now()});
    RecordLeases(core, core::Now());
    AddExecutor("a");
  }

  void AddExecutor(const std::string& id, std::int64_t processor_milli = 8000) {
    core.SetExecutor({.id = id,
                      .address = id,
                      .service = "s",
                      .capacity = {.processor_milli = processor_milli}});
  }

  // Submits a job and sends the starts of its tasks.
  void SubmitAndStart(const schema::fleet_job& job) {
    core.Submit(job, {.now = core::Now()});
    core.Plan({.now = core::Now()});
    Store();
    driver.Send(core.TakeOrders({.now = core::Now()}));
  }

  // Answers the hold in flight, or else the next one, with `report`. Expects
  // `delay_responses`, so that no hold is answered before `report` is complete.
  void AnswerHold() {
    REQUIRE(RunUntil(loop, [this] { return !callbacks.empty(); }));
    const auto respond = callbacks.front();
    callbacks.clear();
    delay_responses = false;
    respond(report);
  }

  void Store() {
    const fleet::write_batch batch = core.Journal().NextBatch(15);
    core.Journal().Stored(batch.number, ++revision, {.now = core::Now()});
  }

  std::int64_t revision = 1;

  net::event_loop loop;
  logging::event_log log;
  bool unresponsive = false;
  // Holds get their responses later, through `callbacks`.
  bool delay_responses = false;
  fleet::hold_report report{.born_ms = 1, .clock_ms = 1};
  bool may_order = true;
  fleet::start_outcome start_outcome = fleet::start_outcome::kAccepted;
  std::vector<fleet::hold_request> holds;
  // Callbacks of holds that have no response yet.
  std::vector<std::function<void(core::result<fleet::hold_report>)>> callbacks;
  std::vector<fleet::start_order> starts;
  std::vector<fleet::stop_order> stops;
  std::vector<std::function<void(fleet::order_status)>> stop_callbacks;
  fleet::executor_services executors;
  fleet::fleet_core core;
  fleet::executor_driver driver;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_DRIVER_SCENE_H_
