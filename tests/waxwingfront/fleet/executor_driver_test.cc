#include "waxwingfront/fleet/executor_driver.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"
#include "support/loop_runner.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

constexpr std::size_t kFirstHolds = 4;

struct driven {
  driven()
      : log({.descriptor = -1}),
        executors({.hold =
                       [this](const fleet::hold_request& request, auto done) {
                         holds.push_back(request);
                         if (held_back) {
                           late.push_back(done);
                           return;
                         }
                         if (silent) {
                           late.push_back(done);
                           done(core::Failure(core::error_code::kOutcomeUnknown,
                                              "no answer"));
                           return;
                         }
                         done(report);
                       },
                   .start =
                       [this](std::string_view, const fleet::start_order& order,
                              std::int64_t, std::int64_t, auto done) {
                         starts.push_back(order);
                         done(fleet::start_outcome::kAccepted);
                       },
                   .stop = [](auto...) {},
                   .pace = [](auto...) {}}),
        core({}),
        driver(loop, executors, core, 7,
               {.most_first_holds = kFirstHolds,
                .pace = {.pause = milliseconds(5)},
                .retry = milliseconds(5)},
               {.may_order = [this] { return may_order; },
                .on_fenced = [] {},
                .on_progress = [] {},
                .now = [] { return fleet::moment{.now = core::Now()}; }},
               log) {
    core.SetManifest(ManifestOf({{}}));
    core.FinishRestore({.now = core::Now()});
    AddExecutor("a");
  }

  void AddExecutor(const std::string& id, std::int64_t processor_milli = 8000) {
    core.SetExecutor({.id = id,
                      .address = id,
                      .service = "s",
                      .capacity = {.processor_milli = processor_milli}});
  }

  // Submits a job and sends the starts of its tasks.
  void Begin(const schema::fleet_job& job) {
    core.Submit(job, {.now = core::Now()});
    core.Plan({.now = core::Now()});
    Store();
    driver.Send(core.TakeOrders());
  }

  void Store() {
    const fleet::write_batch batch = core.Journal().NextBatch(15);
    core.Journal().Stored(batch.number, ++revision, {.now = core::Now()});
  }

  std::int64_t revision = 1;

  net::event_loop loop;
  logging::event_log log;
  bool silent = false;
  // Answers are given later, through `late`.
  bool held_back = false;
  fleet::hold_report report{.born_ms = 1, .clock_ms = 1};
  bool may_order = true;
  std::vector<fleet::hold_request> holds;
  // Callbacks of holds that had no answer yet.
  std::vector<std::function<void(core::result<fleet::hold_report>)>> late;
  std::vector<fleet::start_order> starts;
  fleet::executor_services executors;
  fleet::fleet_core core;
  fleet::executor_driver driver;
};

TEST_CASE("holds without an answer do not push the lease further", "[fleet]") {
  driven one;
  one.driver.HoldAll();
  REQUIRE(RunUntil(one.loop, [&] { return !one.holds.empty(); }));
  one.core.Submit(JobOf("job", 1, 1000), {.now = core::Now()});
  one.core.Plan({.now = core::Now()});
  const fleet::write_batch batch = one.core.Journal().NextBatch(15);
  one.core.Journal().Stored(batch.number, 2, {.now = core::Now()});
  one.silent = true;
  one.driver.Send(one.core.TakeOrders());
  REQUIRE(RunUntil(one.loop, [&] { return one.holds.size() >= 6; }));
  const std::int64_t bound = one.core.FindExecutor("a")->deadline_sent_ms;
  one.holds.clear();
  REQUIRE(RunUntil(one.loop, [&] { return one.holds.size() >= 5; }));
  CHECK(one.core.FindExecutor("a")->deadline_sent_ms == bound);
  for (const fleet::hold_request& hold : one.holds) {
    CHECK(hold.deadline_ms == 0);
  }
}

TEST_CASE("an executor that was out of contact is not told to forget ends",
          "[fleet]") {
  // It may be a new incarnation, whose ends are numbered from 1 again.
  driven one;
  one.driver.HoldAll();
  REQUIRE(RunUntil(one.loop, [&] { return !one.holds.empty(); }));
  one.core.FindExecutor("a")->acknowledged = 40;
  one.core.FindExecutor("a")->in_contact = false;
  one.silent = true;
  one.holds.clear();
  one.driver.HoldAll();
  REQUIRE(RunUntil(one.loop, [&] { return one.holds.size() >= 3; }));
  for (const fleet::hold_request& hold : one.holds) {
    CHECK(hold.acknowledged == 0);
  }
}

TEST_CASE("a late answer of the same incarnation regains its executor",
          "[fleet]") {
  driven one;
  one.driver.HoldAll();
  REQUIRE(RunUntil(one.loop, [&] { return !one.holds.empty(); }));
  one.silent = true;
  one.holds.clear();
  one.core.FindExecutor("a")->in_contact = false;
  one.driver.HoldAll();
  REQUIRE(RunUntil(one.loop, [&] { return one.late.size() >= 2; }));
  one.late[1](fleet::hold_report{.born_ms = 2, .clock_ms = 9});
  CHECK_FALSE(one.core.FindExecutor("a")->in_contact);
  one.late[1](fleet::hold_report{.born_ms = 1, .clock_ms = 9});
  CHECK(one.core.FindExecutor("a")->in_contact);
  CHECK(one.core.FindExecutor("a")->clock->clock_ms == 9);
  // The first hold is older than the one that was answered.
  one.late[0](fleet::hold_report{.born_ms = 1, .clock_ms = 4});
  CHECK(one.core.FindExecutor("a")->clock->clock_ms == 9);
}

TEST_CASE("a leader whose lease is over sends no hold and no start",
          "[fleet]") {
  driven one;
  one.may_order = false;
  one.driver.HoldAll();
  one.driver.Send({.starts = {{.executor = "a", .task = {.job = "job"}}}});
  RunFor(one.loop, milliseconds(50));
  CHECK(one.holds.empty());
  CHECK(one.starts.empty());
}

TEST_CASE("a new leader's first holds do not all fill the link at once",
          "[fleet]") {
  driven one;
  for (char id = 'b'; id <= 'z'; ++id) one.AddExecutor({id});
  one.held_back = true;
  one.driver.HoldAll();
  CHECK(one.holds.size() == kFirstHolds);
  for (std::size_t i = 0; i < one.late.size(); ++i) {
    const auto answer = one.late[i];
    answer(one.report);
    CHECK(one.holds.size() <= i + 1 + kFirstHolds);
  }
  CHECK(one.holds.size() == one.core.Executors().size());
}

TEST_CASE("a new leader first holds the executors whose runs may lapse",
          "[fleet]") {
  driven one;
  for (char id = 'b'; id <= 'y'; ++id) one.AddExecutor({id});
  one.AddExecutor("z", 16'000);
  one.driver.HoldAll();
  one.Begin(JobOf("job", 1, 10'000));
  REQUIRE(one.starts.size() == 1);
  // As a leader that has just taken over knows it.
  for (const auto& [id, executor] : one.core.Executors()) {
    one.core.FindExecutor(id)->reached = false;
    one.core.FindExecutor(id)->in_contact = false;
  }
  fleet::executor_driver next(
      one.loop, one.executors, one.core, 8, {.most_first_holds = kFirstHolds},
      {.may_order = [] { return true; },
       .on_fenced = [] {},
       .on_progress = [] {},
       .now = [] { return fleet::moment{.now = core::Now()}; }},
      one.log);
  one.held_back = true;
  one.holds.clear();
  next.HoldAll();
  REQUIRE_FALSE(one.holds.empty());
  CHECK(one.holds.front().executor == one.starts.front().executor);
}

TEST_CASE("executors without an answer do not keep the others waiting",
          "[fleet]") {
  driven one;
  for (char id = 'b'; id <= 'z'; ++id) one.AddExecutor({id});
  one.silent = true;
  one.driver.HoldAll();
  // Each was called once before any was called again.
  REQUIRE(one.holds.size() >= one.core.Executors().size());
  std::set<std::string> called;
  for (std::size_t i = 0; i < one.core.Executors().size(); ++i) {
    called.insert(one.holds[i].executor);
  }
  CHECK(called.size() == one.core.Executors().size());
}

TEST_CASE("ends that are not stored yet are not asked for again and again",
          "[fleet]") {
  driven one;
  one.driver.HoldAll();
  one.Begin(JobOf("job", 2, 1000));
  REQUIRE(one.starts.size() == 2);
  one.report.ended = {{.number = 1,
                       .task = one.starts[0].task,
                       .run = 1,
                       .how = fleet::run_end::kDone}};
  one.report.running = {{.task = one.starts[1].task, .run = 1}};
  const fleet::executor_state& executor = *one.core.FindExecutor("a");
  REQUIRE(RunUntil(one.loop, [&] { return executor.processed == 1; }));
  one.holds.clear();
  RunFor(one.loop, milliseconds(100));
  CHECK(one.holds.size() <= 1);
  one.Store();
  one.driver.OnStored();
  REQUIRE(RunUntil(one.loop, [&] {
    return !one.holds.empty() && one.holds.back().acknowledged == 1;
  }));
}

TEST_CASE("an executor that runs nothing has no hold in flight", "[fleet]") {
  driven one;
  one.driver.HoldAll();
  one.Begin(JobOf("job", 1, 1000));
  REQUIRE(one.starts.size() == 1);
  one.report.ended = {{.number = 1,
                       .task = one.starts[0].task,
                       .run = 1,
                       .how = fleet::run_end::kDone}};
  const fleet::executor_state& executor = *one.core.FindExecutor("a");
  REQUIRE(RunUntil(one.loop, [&] { return executor.processed == 1; }));
  one.holds.clear();
  for (int i = 0; i < 5; ++i) {
    RunFor(one.loop, milliseconds(100));
    one.driver.HoldAll();
  }
  CHECK(one.holds.empty());
}

// Answers the holds from the `from`th on, in vain, until there is none left or
// `id` is called. Gives how many others were called before it.
std::size_t CallsBefore(driven& one, std::size_t from, const std::string& id) {
  std::size_t others = 0;
  for (std::size_t i = from; i < one.holds.size(); ++i) {
    if (one.holds[i].executor == id) return others;
    ++others;
    const auto answer = one.late[i];
    answer(core::Failure(core::error_code::kUnreachable, "cut off"));
    RunFor(one.loop, milliseconds(2));
    if (others > 4 * one.core.Executors().size()) break;
  }
  return others;
}

TEST_CASE("an executor that lost one answer is held before the dead ones",
          "[fleet]") {
  driven one;
  for (char id = 'b'; id <= 'z'; ++id) one.AddExecutor({id});
  one.driver.HoldAll();
  one.held_back = true;
  one.holds.clear();
  one.Begin(JobOf("job", 1, 1000));
  REQUIRE(one.starts.size() == 1);
  REQUIRE(RunUntil(one.loop, [&] { return one.holds.size() == 1; }));
  const std::string living = one.starts[0].executor;
  for (const auto& [id, executor] : one.core.Executors()) {
    one.core.FindExecutor(id)->in_contact = id == living;
  }
  one.driver.HoldAll();
  // All others have been called in vain, and are called again.
  for (std::size_t i = 1; i < one.core.Executors().size(); ++i) {
    REQUIRE(i < one.holds.size());
    const auto answer = one.late[i];
    answer(core::Failure(core::error_code::kUnreachable, "cut off"));
  }
  RunFor(one.loop, milliseconds(20));
  const std::size_t open = one.core.Executors().size();
  REQUIRE(one.holds.size() == open + kFirstHolds);
  const auto lost = one.late[0];
  lost(core::Failure(core::error_code::kOutcomeUnknown, "no answer"));
  RunFor(one.loop, milliseconds(20));
  // Those in flight go first, and no others.
  CHECK(CallsBefore(one, open, living) == kFirstHolds);
}

TEST_CASE("an answer from an executor's old address ends no run at its new one",
          "[fleet]") {
  driven one;
  one.driver.HoldAll();
  REQUIRE(RunUntil(one.loop, [&] { return !one.holds.empty(); }));
  one.held_back = true;
  one.Begin(JobOf("before", 1, 1000));
  REQUIRE(RunUntil(one.loop, [&] { return one.late.size() == 1; }));
  one.core.SetExecutor({.id = "a",
                        .address = "a2",
                        .service = "s",
                        .capacity = {.processor_milli = 8000}});
  one.Begin(JobOf("after", 1, 1000));
  REQUIRE(one.starts.size() == 2);
  int over = 0;
  one.core.Runs().on_over = [&over](const fleet::task_state&, fleet::run_fate,
                                    fleet::moment) { ++over; };
  const auto answer = one.late[0];
  answer(core::Failure(core::error_code::kOtherIncarnation, "another"));
  CHECK(over == 0);
  CHECK_FALSE(one.core.FindExecutor("a")->in_contact);
}

}  // namespace
}  // namespace waxwingfront::tests
