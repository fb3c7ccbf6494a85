#include "waxwingfront/fleet/fleet_node.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "support/cut_store.h"
#include "support/fake_store.h"
#include "support/fleet_process.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("a weak leader hands leadership over to a stronger process",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process weak(loop, store, kWeak);
  REQUIRE(weak.started);
  REQUIRE(RunUntil(loop, [&] { return weak.Leads(store); }));
  fleet_process strong(loop, store, kStrong);
  REQUIRE(strong.started);
  REQUIRE(RunUntil(loop, [&] { return strong.Leads(store); }));
  RunFor(loop, milliseconds(1000));
  CHECK(strong.Leads(store));
  CHECK(weak.Elections() == 1);
}

TEST_CASE("a process that kept leadership gets it back after each interruption",
          "[fleet]") {
  constexpr int kInterruptions = 4;
  constexpr milliseconds kBackoff(800);
  constexpr milliseconds kMaxHandoverTime(1000);
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet::fleet_node_options options = fleet_process::Options(kWeak);
  options.choice.min_handover_interval = milliseconds(100);
  options.choice.initial_backoff = kBackoff;
  fleet_process weak(loop, store, options);
  REQUIRE(RunUntil(loop, [&] { return weak.Leads(store); }));
  bool cut = false;
  fleet_process strong(loop, store, fleet_process::Options(kStrong));
  MakeInterruptible(strong.store, loop, cut);
  REQUIRE(RunUntil(loop, [&] { return strong.Leads(store); }));
  for (int i = 0; i < kInterruptions; ++i) {
    RunFor(loop, 2 * kBackoff);
    REQUIRE(strong.Leads(store));
    cut = true;
    store.EndLease(store.LeaseOf(std::string(fleet::kLeaderKey)));
    REQUIRE(RunUntil(loop, [&] { return weak.Leads(store); }));
    RunFor(loop, milliseconds(300));
    cut = false;
    INFO("interruption " << i);
    REQUIRE(RunUntil(
        loop, [&] { return strong.Leads(store); }, kMaxHandoverTime));
  }
}

TEST_CASE("after a power failure the strong process is elected first",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  schema::fleet_strength before;
  before.set_strength(kStrong);
  store.Put(std::string(fleet::kStrengthsPrefix) + "127.0.0.1:1",
            before.SerializeAsString());
  fleet_process weak(loop, store, kWeak);
  RunFor(loop, milliseconds(150));
  fleet_process strong(loop, store, kStrong);
  REQUIRE(RunUntil(loop, [&] { return strong.Leads(store); }));
  CHECK(weak.Elections() == 0);
}

TEST_CASE("a process registers its strength for those that start later",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  fleet_process process(loop, store, kWeak);
  const std::string key =
      std::string(fleet::kStrengthsPrefix) + process.node.Address();
  REQUIRE(RunUntil(loop, [&] { return !store.Value(key).empty(); }));
  schema::fleet_strength entered;
  REQUIRE(entered.ParseFromString(store.Value(key)));
  CHECK(entered.strength() == kWeak);
}

TEST_CASE("a process leads although it cannot read the others' strengths",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process process(loop, store, kStrong);
  process.store.range = [&](std::string_view, std::string_view, auto done) {
    loop.After(milliseconds(1), [done] {
      done(core::Failure(core::error_code::kStoreUnavailable, "refused"));
    });
  };
  CHECK(RunUntil(loop, [&] { return process.Leads(store); }));
}

TEST_CASE("a weak process takes over when the strong one resigns", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process weak(loop, store, kWeak);
  fleet_process strong(loop, store, kStrong);
  REQUIRE(RunUntil(loop, [&] { return strong.Leads(store); }));
  const std::int64_t before = weak.Elections();
  strong.node.Resign();
  CHECK(RunUntil(
      loop, [&] { return weak.Leads(store); }, milliseconds(1000)));
  RunFor(loop, milliseconds(1000));
  CHECK(weak.Leads(store));
  CHECK(weak.Elections() == before + 1);
}

TEST_CASE("member records stay readable by the previous version", "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  fleet_process process(loop, store, kWeak);
  const std::string key =
      std::string(fleet::kMembersPrefix) + process.node.Address();
  REQUIRE(RunUntil(loop, [&] { return !store.Value(key).empty(); }));
  CHECK(store.Value(key) == process.node.Address());
}

TEST_CASE("processes with calls do not read the leader key while it loads",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process strong(loop, store, kStrong);
  const auto range = strong.store.range;
  bool blocked = true;
  strong.store.range = [&](std::string_view prefix, std::string_view after,
                           auto done) {
    if (blocked && prefix == fleet::kJobPrefix) {
      loop.After(milliseconds(1), [done] {
        done(core::Failure(core::error_code::kStoreUnavailable, "slow"));
      });
      return;
    }
    range(prefix, after, done);
  };
  REQUIRE(RunUntil(loop, [&] { return strong.Leads(store); }));
  fleet_process weak(loop, store, kWeak);
  int reads = 0;
  const auto get = weak.store.get;
  weak.store.get = [&](std::string_view key, auto done) {
    if (key == fleet::kLeaderKey) ++reads;
    get(key, done);
  };
  REQUIRE(RunUntil(loop, [&] { return weak.node.Ready(); }));
  const int before = reads;
  schema::fleet_request request;
  request.set_show("job");
  std::optional<core::result<schema::fleet_reply>> reply;
  weak.node.Call(request, core::Now() + milliseconds(5000),
                 [&reply](core::result<schema::fleet_reply> got) {
                   reply = std::move(got);
                 });
  RunFor(loop, milliseconds(600));
  CHECK_FALSE(reply);
  CHECK(reads == before);
  blocked = false;
  REQUIRE(RunUntil(loop, [&reply] { return reply.has_value(); }));
  CHECK(*reply);
}

TEST_CASE("a leader that is cut off learns of the next one from the others",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process strong(loop, store, kStrong);
  bool cut = false;
  MakeInterruptible(strong.store, loop, cut);
  SilenceOpenWatches(strong.store, cut);
  REQUIRE(RunUntil(loop, [&] { return strong.Leads(store); }));
  fleet_process weak(loop, store, kWeak);
  REQUIRE(RunUntil(loop, [&] { return weak.node.Ready(); }));
  // The leader has read the new member.
  RunFor(loop, milliseconds(1000));
  REQUIRE(strong.Leads(store));
  cut = true;
  // Calls that were made before have their responses.
  RunFor(loop, milliseconds(50));
  // The next leader does not announce itself to this one.
  store.Remove(std::string(fleet::kMembersPrefix) + strong.node.Address());
  store.EndLease(store.LeaseOf(std::string(fleet::kLeaderKey)));
  REQUIRE(RunUntil(loop, [&] { return weak.Leads(store); }));
  // The lease ends by the clock of the leader that is cut off.
  RunFor(loop, milliseconds(2000));
  schema::fleet_request request;
  request.set_show("job");
  std::optional<core::result<schema::fleet_reply>> reply;
  strong.node.Call(request, core::Now() + milliseconds(4000),
                   [&reply](core::result<schema::fleet_reply> got) {
                     reply = std::move(got);
                   });
  REQUIRE(RunUntil(loop, [&reply] { return reply.has_value(); }));
  REQUIRE(*reply);
  CHECK((*reply)->outcome() == schema::FLEET_UNKNOWN_JOB);
}

}  // namespace
}  // namespace waxwingfront::tests
