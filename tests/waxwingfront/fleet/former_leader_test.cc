#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "support/cut_store.h"
#include "support/fake_store.h"
#include "support/fleet_fixture.h"
#include "support/fleet_process.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;
using reply = core::result<schema::fleet_reply>;

schema::fleet_request Cancel() {
  schema::fleet_request request;
  request.set_cancel("job");
  return request;
}

schema::fleet_request Show() {
  schema::fleet_request request;
  request.set_show("job");
  return request;
}

schema::fleet_request CountWaiting() {
  schema::fleet_request request;
  request.set_count_waiting("q");
  return request;
}

// A leader that is cut off from the store and from the next leader, for less
// time than its lease lasts. The next leader has accepted a job since.
struct former_leader_site {
  former_leader_site() {
    store.Put("manifest", "1");
    // It does not hear of the next leader from an announcement of its own.
    fleet::fleet_node_options options = fleet_process::Options(kStrong);
    options.announcer.period = milliseconds(60'000);
    former.emplace(loop, store, options);
    MakeInterruptible(former->store, loop, cut);
    SilenceOpenWatches(former->store, cut);
    REQUIRE(RunUntil(loop, [this] { return former->Leads(store); }));
    next.emplace(loop, store, kWeak);
    REQUIRE(RunUntil(loop, [this] { return next->node.Ready(); }));
    RunFor(loop, milliseconds(300));
  }

  void TakeKeyAway() {
    cut = true;
    store.Remove(std::string(fleet::kMembersPrefix) + former->node.Address());
    store.Remove(std::string(fleet::kLeaderKey));
    REQUIRE(RunUntil(loop, [this] { return next->Leads(store); }));
    schema::fleet_request submit;
    *submit.mutable_submit() = JobOf("job", 1, 1000);
    REQUIRE(Outcome(Call(*next, submit)) == schema::FLEET_OK);
  }

  reply Call(fleet_process& process, const schema::fleet_request& request) {
    std::optional<reply> got;
    process.node.Call(request, core::Now() + milliseconds(3000),
                      [&got](reply result) { got = std::move(result); });
    REQUIRE(RunUntil(loop, [&got] { return got.has_value(); }));
    return *got;
  }

  static schema::fleet_outcome Outcome(const reply& got) {
    REQUIRE(got);
    return got->outcome();
  }

  net::event_loop loop;
  fake_store store{loop};
  bool cut = false;
  std::optional<fleet_process> former;
  std::optional<fleet_process> next;
};

// Guards against a job that runs on although its cancel was answered: a later
// leader has accepted it.
TEST_CASE("a leader whose key was taken away does not answer from memory",
          "[fleet]") {
  const auto request = GENERATE(Cancel(), Show(), CountWaiting());
  CAPTURE(request.ShortDebugString());
  former_leader_site site;
  site.TakeKeyAway();
  const reply got = site.Call(*site.former, request);
  REQUIRE_FALSE(got);
  CHECK(got.error().code == core::error_code::kNoOwner);
}

TEST_CASE("a leader that has its key answers for jobs that it does not know",
          "[fleet]") {
  former_leader_site site;
  for (fleet_process* const process : {&*site.former, &*site.next}) {
    CHECK(site.Outcome(site.Call(*process, Cancel())) ==
          schema::FLEET_UNKNOWN_JOB);
    CHECK(site.Outcome(site.Call(*process, Show())) ==
          schema::FLEET_UNKNOWN_JOB);
    CHECK(site.Outcome(site.Call(*process, CountWaiting())) ==
          schema::FLEET_OK);
  }
}

// Guards against callers of a former leader that wait for its lease to end.
TEST_CASE("a call to a leader that reads that it is deposed reaches the next",
          "[fleet]") {
  former_leader_site site;
  site.TakeKeyAway();
  // Its watch of the key stays silent.
  site.former->store.watch = [](std::string_view, std::int64_t, milliseconds,
                                const auto&) {};
  site.cut = false;
  const core::monotonic_time before = core::Now();
  CHECK(site.Outcome(site.Call(*site.former, Cancel())) == schema::FLEET_OK);
  CHECK(core::Now() - before < milliseconds(500));
}

}  // namespace
}  // namespace waxwingfront::tests
