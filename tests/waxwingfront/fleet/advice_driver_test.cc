#include "waxwingfront/fleet/advice_driver.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using advice_callback = std::function<void(core::result<fleet::advice_reply>)>;

// An adviser that handles one request at a time and permits all executors.
struct slow_adviser {
  fleet::executor_services services{
      .advise = [this](const fleet::advice_request& request, auto done) {
        requests.push_back(request);
        callbacks.push_back(std::move(done));
      }};
  std::vector<fleet::advice_request> requests;
  std::vector<advice_callback> callbacks;

  void PermitNext(core::milliseconds valid) {
    fleet::advice_reply reply{.valid = valid};
    for (const std::string& id : requests[answered_].executors) {
      reply.permits.push_back({.executor = id, .ticket = "t"});
    }
    callbacks[answered_++](reply);
  }

 private:
  std::size_t answered_ = 0;
};

// Guards against requests whose permits have expired on arrival, each time
// anew, because they wait longer than a permit is valid.
TEST_CASE("a permit is valid from when its request was sent", "[fleet]") {
  constexpr core::milliseconds kValid{3000};
  constexpr std::int64_t kQueuedMs = 4000;
  fleet_fixture fixture(std::vector<queue_options>{{.advised = true}});
  fixture.AddExecutor("a", 8000);
  std::int64_t now_ms = 10;
  slow_adviser adviser;
  logging::event_log log({.descriptor = -1});
  fleet::advice_driver driver(
      adviser.services, fixture.Core(), {.max_in_flight = 1},
      {.on_progress = [] {}, .now = [&now_ms] { return At(now_ms); }}, log);
  fixture.Core().Submit(JobOf("first", 1, 1000), At(0));
  fixture.Core().Submit(JobOf("second", 1, 1000), At(0));
  driver.Send(fixture.Step(now_ms).advice);
  REQUIRE(adviser.requests.size() == 1);
  now_ms = kQueuedMs;
  adviser.PermitNext(kValid);
  REQUIRE(adviser.requests.size() == 2);
  now_ms += 30;
  adviser.PermitNext(kValid);
  fixture.Report("a", now_ms, {});
  const fleet::orders decided = fixture.Step(now_ms + 10);
  REQUIRE(decided.starts.size() == 1);
  CHECK(decided.starts[0].task.job == adviser.requests[1].step.job);
}

TEST_CASE("advice is requested in the order in which steps would start",
          "[fleet]") {
  fleet_fixture fixture({{.name = "low", .priority = 1, .advised = true},
                         {.name = "high", .priority = 0, .advised = true}});
  fixture.AddExecutor("a", 8000);
  std::int64_t now_ms = 10;
  slow_adviser adviser;
  logging::event_log log({.descriptor = -1});
  fleet::advice_driver driver(
      adviser.services, fixture.Core(), {.max_in_flight = 1},
      {.on_progress = [] {}, .now = [&now_ms] { return At(now_ms); }}, log);
  fixture.Core().Submit(JobOf("first", 1, 1000, "low"), At(0));
  driver.Send(fixture.Step(now_ms).advice);
  fixture.Core().Submit(JobOf("second", 1, 1000, "low"), At(11));
  fixture.Core().Submit(JobOf("cancelled", 1, 1000, "high"), At(11));
  driver.Send(fixture.Step(20).advice);
  fixture.Core().Submit(JobOf("urgent", 1, 1000, "high"), At(21));
  driver.Send(fixture.Step(30).advice);
  fixture.Core().Cancel("cancelled", At(40));
  REQUIRE(adviser.requests.size() == 1);
  now_ms = 50;
  for (int i = 0; i < 3; ++i) adviser.PermitNext(core::milliseconds(3000));
  REQUIRE(adviser.requests.size() == 3);
  CHECK(adviser.requests[0].step.job == "first");
  CHECK(adviser.requests[1].step.job == "urgent");
  CHECK(adviser.requests[2].step.job == "second");
}

// Guards against advice that was asked for in vain: room may have gone while
// the request waited.
TEST_CASE("a step that cannot start any more is not asked for", "[fleet]") {
  fleet_fixture fixture({{.name = "advised", .advised = true}, {}});
  fixture.AddExecutor("a", 8000);
  std::int64_t now_ms = 10;
  slow_adviser adviser;
  logging::event_log log({.descriptor = -1});
  fleet::advice_driver driver(
      adviser.services, fixture.Core(), {.max_in_flight = 1},
      {.on_progress = [] {}, .now = [&now_ms] { return At(now_ms); }}, log);
  fixture.Core().Submit(JobOf("first", 1, 1000, "advised"), At(0));
  fixture.Core().Submit(JobOf("second", 1, 1000, "advised"), At(0));
  driver.Send(fixture.Step(now_ms).advice);
  fixture.Core().Submit(JobOf("other", 1, 7500), At(20));
  REQUIRE(fixture.StepAccepted(30).starts.size() == 1);
  now_ms = 40;
  adviser.PermitNext(core::milliseconds(3000));
  CHECK(adviser.requests.size() == 1);
}

// Guards against permits that have expired at each visit of their job.
TEST_CASE("a job with new permits does not wait for visits of other jobs",
          "[fleet]") {
  constexpr core::milliseconds kValid{3000};
  constexpr std::int64_t kRoundMs = 100;
  constexpr int kOtherJobs = 60;
  fleet_fixture fixture({{.name = "advised", .advised = true}, {}});
  fixture.AddExecutor("a", 8000);
  fixture.Core().Submit(JobOf("permitted", 1, 1000, "advised"), At(0));
  for (int i = 0; i < kOtherJobs; ++i) {
    fixture.Core().Submit(JobOf("large" + std::to_string(i), 1, 16'000), At(1));
  }
  const auto out_of_time = [] { return true; };
  fixture.Core().Plan(At(2), out_of_time);
  const fleet::orders first = fixture.Core().TakeOrders(At(2));
  REQUIRE(first.advice.size() == 1);
  fixture.Core().OnAdvice(
      first.advice[0],
      fleet::advice_reply{.permits = {{.executor = "a", .ticket = "t"}},
                          .valid = kValid},
      At(10));
  std::size_t started = 0;
  for (std::int64_t at_ms = kRoundMs; at_ms < kValid.count();
       at_ms += kRoundMs) {
    fixture.Report("a", at_ms, {});
    fixture.Core().Plan(At(at_ms), out_of_time);
    fixture.Store(at_ms);
    started += fixture.Core().TakeOrders(At(at_ms)).starts.size();
  }
  CHECK(started == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
