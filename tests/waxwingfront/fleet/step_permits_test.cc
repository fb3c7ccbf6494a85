#include "waxwingfront/fleet/step_permits.h"

#include <catch2/catch.hpp>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr core::milliseconds kValid{3000};

fleet::advice_reply Permit(const std::string& executor) {
  return {.permits = {{.executor = executor, .ticket = "t"}}, .valid = kValid};
}

TEST_CASE("a ticket is used while enough of its time is left", "[fleet]") {
  fleet::step_permits permits;
  permits.Ask({"a", "b"}, At(0).now);
  CHECK_FALSE(permits.MayAsk(At(10).now));
  permits.Answer(Permit("a"));
  CHECK(permits.MayAsk(At(10).now));
  CHECK(permits.Ticket("a", At(100).now) == "t");
  CHECK(permits.Ticket("a", At(2990).now).empty());
  CHECK(permits.Ticket("b", At(100).now).empty());
  CHECK(permits.Refused("b"));
  CHECK_FALSE(permits.Refused("a"));
}

TEST_CASE("a question without an answer is repeated after a pause", "[fleet]") {
  fleet::step_permits permits;
  permits.Ask({"a"}, At(0).now);
  permits.Fail(At(100).now);
  CHECK_FALSE(permits.MayAsk(At(110).now));
  CHECK(permits.MayAsk(At(1000).now));
  CHECK_FALSE(permits.Refused("a"));
}

TEST_CASE("tasks of an advised queue go only where the adviser permits",
          "[fleet]") {
  fleet_fixture scene(std::vector<queue_options>{{.advised = true}});
  scene.AddExecutor("a", 8000);
  scene.AddExecutor("b", 8000);
  scene.Core().Submit(JobOf("job", 2, 1000), At(0));
  const fleet::orders asked = scene.Step(10);
  CHECK(asked.starts.empty());
  REQUIRE(asked.advice.size() == 1);
  CHECK(asked.advice[0].executors.size() == 2);
  // Asked once, however often is planned.
  CHECK(scene.Step(20).advice.empty());
  scene.Core().OnAdvice(asked.advice[0], Permit("b"), At(40));
  const fleet::orders decided = scene.Step(50);
  REQUIRE(decided.starts.size() == 2);
  for (const fleet::start_order& start : decided.starts) {
    CHECK(start.executor == "b");
    CHECK(start.permit == "t");
  }
  SECTION("a ticket that the executor refuses is not used again") {
    scene.Core().OnStartResponse(decided.starts[0],
                                 fleet::start_outcome::kNotPermitted, At(60));
    const fleet::orders again = scene.Step(70);
    CHECK(again.starts.empty());
    CHECK(again.advice.size() == 1);
  }
}

TEST_CASE("advice without an answer is asked for again", "[fleet]") {
  fleet_fixture scene(std::vector<queue_options>{{.advised = true}});
  scene.AddExecutor("a", 8000);
  scene.Core().Submit(JobOf("job", 1, 1000), At(0));
  const fleet::orders asked = scene.Step(10);
  REQUIRE(asked.advice.size() == 1);
  scene.Core().OnAdvice(asked.advice[0], std::nullopt, At(20));
  CHECK(scene.Step(30).advice.empty());
  CHECK(scene.Step(1000).advice.size() == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
