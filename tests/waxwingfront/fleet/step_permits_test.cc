#include "waxwingfront/fleet/step_permits.h"

#include <catch2/catch.hpp>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr core::milliseconds kValid{3000};

fleet::advice_reply Permit(const std::string& executor) {
  return {.permits = {{.executor = executor, .ticket = "t"}}, .valid = kValid};
}

TEST_CASE("a ticket is used only while enough of its validity remains",
          "[fleet]") {
  fleet::step_permits permits;
  permits.RecordRequest({"a", "b"}, At(0).now);
  CHECK_FALSE(permits.MayRequest(At(10).now));
  permits.RecordReply(Permit("a"), At(10).now);
  CHECK(permits.MayRequest(At(10).now));
  CHECK(permits.Ticket("a", At(100).now) == "t");
  CHECK(permits.Ticket("a", At(2990).now).empty());
  CHECK(permits.Ticket("b", At(100).now).empty());
  CHECK(permits.IsRefused("b"));
  CHECK_FALSE(permits.IsRefused("a"));
}

// Guards against steps that are requested without end while their tickets come
// too late.
TEST_CASE("a step is not requested again at once when its tickets come void",
          "[fleet]") {
  fleet::step_permits permits;
  permits.RecordRequest({"a"}, At(0).now);
  CHECK_FALSE(permits.RecordReply(Permit("a"), At(2900).now));
  CHECK(permits.Ticket("a", At(2900).now).empty());
  CHECK_FALSE(permits.MayRequest(At(2910).now));
  CHECK(permits.MayRequest(At(3100).now));
  CHECK(permits.UnusedCalls() == 1);
  SECTION("and the next ones are tried, whatever their call took") {
    permits.RecordRequest({"a"}, At(3100).now);
    CHECK(permits.RecordReply(Permit("a"), At(6000).now));
    CHECK(permits.Ticket("a", At(6000).now) == "t");
    permits.RecordPlacement();
    CHECK(permits.UnusedCalls() == 0);
  }
}

TEST_CASE("a ticket counts from the time that its reply states", "[fleet]") {
  fleet::step_permits permits;
  permits.RecordRequest({"a"}, At(0).now);
  fleet::advice_reply reply = Permit("a");
  reply.valid_from = At(2000).now;
  CHECK(permits.RecordReply(reply, At(2900).now));
  CHECK(permits.Ticket("a", At(4500).now) == "t");
  CHECK(permits.Ticket("a", At(4700).now).empty());
}

TEST_CASE("a failed advice request is retried only after a delay", "[fleet]") {
  fleet::step_permits permits;
  permits.RecordRequest({"a"}, At(0).now);
  permits.RecordFailure(At(100).now);
  CHECK_FALSE(permits.MayRequest(At(110).now));
  CHECK(permits.MayRequest(At(1000).now));
  CHECK_FALSE(permits.IsRefused("a"));
}

TEST_CASE("tasks of an advised queue are placed only on permitted executors",
          "[fleet]") {
  fleet_fixture fixture(std::vector<queue_options>{{.advised = true}});
  fixture.AddExecutor("a", 8000);
  fixture.AddExecutor("b", 8000);
  fixture.Core().Submit(JobOf("job", 2, 1000), At(0));
  const fleet::orders asked = fixture.Step(10);
  CHECK(asked.starts.empty());
  REQUIRE(asked.advice.size() == 1);
  CHECK(asked.advice[0].executors.size() == 2);
  // Requested once, regardless of the number of planning rounds.
  CHECK(fixture.Step(20).advice.empty());
  fixture.Core().OnAdvice(asked.advice[0], Permit("b"), At(40));
  const fleet::orders decided = fixture.Step(50);
  REQUIRE(decided.starts.size() == 2);
  for (const fleet::start_order& start : decided.starts) {
    CHECK(start.executor == "b");
    CHECK(start.permit == "t");
  }
  SECTION("a ticket that the executor rejected is not reused") {
    fixture.Core().OnStartResponse(decided.starts[0],
                                   fleet::start_outcome::kNotPermitted, At(60));
    const fleet::orders again = fixture.Step(70);
    CHECK(again.starts.empty());
    CHECK(again.advice.size() == 1);
  }
}

// Guards against starts without tickets for ever.
TEST_CASE("a job keeps its adviser when its queue is removed", "[fleet]") {
  fleet_fixture fixture(std::vector<queue_options>{{.advised = true}});
  fixture.AddExecutor("a", 8000);
  fixture.Core().Submit(JobOf("job", 1, 1000), At(0));
  fleet::manifest without_queue;
  without_queue.version = 2;
  fixture.Core().SetManifest(without_queue);
  const fleet::orders asked = fixture.Step(10);
  CHECK(asked.starts.empty());
  CHECK(asked.advice.size() == 1);
}

TEST_CASE("a rejection for want of a ticket shows that a job is advised",
          "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", 8000);
  fixture.Core().Submit(JobOf("job", 1, 1000), At(0));
  const fleet::orders decided = fixture.Step(10);
  REQUIRE(decided.starts.size() == 1);
  fixture.Core().OnStartResponse(decided.starts[0],
                                 fleet::start_outcome::kNotPermitted, At(20));
  const fleet::orders next = fixture.Step(30);
  CHECK(next.starts.empty());
  REQUIRE(next.advice.size() == 1);
  fixture.Core().OnAdvice(next.advice[0], Permit("a"), At(40));
  CHECK(fixture.Step(50).starts.size() == 1);
}

TEST_CASE("advice is requested again after a failed request", "[fleet]") {
  fleet_fixture fixture(std::vector<queue_options>{{.advised = true}});
  fixture.AddExecutor("a", 8000);
  fixture.Core().Submit(JobOf("job", 1, 1000), At(0));
  const fleet::orders asked = fixture.Step(10);
  REQUIRE(asked.advice.size() == 1);
  fixture.Core().OnAdvice(asked.advice[0], std::nullopt, At(20));
  CHECK(fixture.Step(30).advice.empty());
  CHECK(fixture.Step(1000).advice.size() == 1);
}

// Guards against advice that is spent on gangs without room.
TEST_CASE("no advice is requested for a gang that does not fit as a whole",
          "[fleet]") {
  fleet_fixture fixture(std::vector<queue_options>{{.advised = true}});
  fixture.AddExecutor("a", 8000);
  schema::fleet_job gang = JobOf("gang", 3, 4000);
  gang.mutable_steps(0)->set_gang(true);
  fixture.Core().Submit(gang, At(0));
  CHECK(fixture.Step(10).advice.empty());
  fixture.AddExecutor("b", 8000);
  const fleet::orders asked = fixture.Step(20);
  REQUIRE(asked.advice.size() == 1);
  CHECK(asked.advice[0].executors.size() == 2);
}

TEST_CASE("a wide gang is advised on at once", "[fleet]") {
  fleet_fixture fixture(std::vector<queue_options>{{.advised = true}});
  for (int i = 0; i < 200; ++i) {
    fixture.AddExecutor("e" + std::to_string(i), 8000);
  }
  schema::fleet_job gang = JobOf("gang", 40, 8000);
  gang.mutable_steps(0)->set_gang(true);
  fixture.Core().Submit(gang, At(0));
  const fleet::orders asked = fixture.Step(10);
  REQUIRE(asked.advice.size() == 1);
  CHECK(asked.advice[0].executors.size() == 80);
}

}  // namespace
}  // namespace waxwingfront::tests
