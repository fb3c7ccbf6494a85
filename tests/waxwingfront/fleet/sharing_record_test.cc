// The interference record at a change of leader.
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "support/fake_store.h"
#include "support/fleet_fixture.h"
#include "support/loop_runner.h"
#include "support/pipe_pair.h"
#include "waxwingfront/fleet/fleet_leader.h"
#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

const std::string kKey(fleet::kSharingKey);

schema::fleet_sharing Estimates() {
  schema::fleet_sharing record;
  record.add_filling_images("filling");
  schema::fleet_sharing::serving_image& row = *record.add_serving_images();
  row.set_image("serving");
  row.set_base_ms(20.0);
  row.add_pressures(0.25);
  return record;
}

// A new leader that finds `value` as the interference record.
struct new_leader {
  explicit new_leader(const std::optional<std::string>& value) {
    platform.Put(std::string(fleet::kLeaderKey), "leader");
    if (value) platform.Put(kKey, *value);
    store.get = [this, get = store.get](std::string_view key, auto done) {
      if (key == fleet::kSharingKey && reads_fail) {
        ++failed_reads;
        loop.After(milliseconds(1), [done] {
          done(core::Failure(core::error_code::kStoreUnavailable, "lost"));
        });
        return;
      }
      get(key, done);
    };
  }

  void TakeOver() {
    // The store's first revision, of the leader's key.
    constexpr std::int64_t kToken = 2;
    leader.emplace(
        loop, store, executors, kToken, core::Now(),
        fleet::fleet_leader_options{.retry = milliseconds(10),
                                    .sharing_period = milliseconds(20)},
        fleet::fleet_leader_hooks{
            .may_order = [] { return true; },
            .on_deposed = [](std::string_view) {},
            .now = [] { return fleet::moment{.now = core::Now()}; },
            .leases_first_seen = [](std::int64_t) { return std::nullopt; },
            .suspended = {},
            .on_ready = {},
            .on_stage = {}},
        log);
    REQUIRE(RunUntil(
        loop, [this] { return leader->Loaded(); }, milliseconds(1000)));
  }

  schema::fleet_sharing Stored() const {
    schema::fleet_sharing record;
    REQUIRE(record.ParseFromString(platform.Value(kKey)));
    return record;
  }

  bool reads_fail = false;
  int failed_reads = 0;
  const pipe_pair stream;
  net::event_loop loop;
  logging::event_log log{{.descriptor = stream.ends[1]}};
  fake_store platform{loop};
  fleet::store_services store = platform.Services();
  fleet::executor_services executors;
  std::optional<fleet::fleet_leader> leader;
};

// Guards against estimates of hours that one lost answer ends.
TEST_CASE("a leader that cannot read the interference record keeps it",
          "[fleet]") {
  const std::string before = Estimates().SerializeAsString();
  new_leader process(before);
  process.reads_fail = true;
  process.TakeOver();
  RunFor(process.loop, milliseconds(200));
  CHECK(process.platform.Value(kKey) == before);
  CHECK(process.failed_reads > 1);
  process.reads_fail = false;
  CHECK(RunUntil(
      process.loop,
      [&process] {
        return process.leader->Core().SharingRecord().serving_images_size() ==
               1;
      },
      milliseconds(1000)));
  RunFor(process.loop, milliseconds(100));
  const schema::fleet_sharing after = process.Stored();
  REQUIRE(after.serving_images_size() == 1);
  CHECK(after.serving_images(0).pressures(0) == 0.25);
}

TEST_CASE("a leader that finds no interference record writes one", "[fleet]") {
  new_leader process(std::nullopt);
  process.TakeOver();
  CHECK(RunUntil(
      process.loop, [&process] { return process.platform.Holds(kKey); },
      milliseconds(1000)));
}

TEST_CASE("a damaged interference record is logged and replaced", "[fleet]") {
  new_leader process("\xff");
  process.TakeOver();
  RunFor(process.loop, milliseconds(100));
  CHECK(process.Stored().serving_images_size() == 0);
  process.log.Flush();
  CHECK(process.stream.Read().find(
            R"("event":"record_damaged","key":"wf/sharing")") !=
        std::string::npos);
}

// Guards against an index beyond the images, which ended each new leader.
TEST_CASE("an interference record with odd rows is damaged", "[fleet]") {
  const bool longer = GENERATE(true, false);
  schema::fleet_sharing record = Estimates();
  if (longer) {
    record.mutable_serving_images(0)->add_pressures(0.5);
  } else {
    record.mutable_serving_images(0)->clear_pressures();
  }
  new_leader process(record.SerializeAsString());
  process.TakeOver();
  CHECK(process.leader->Core().SharingRecord().serving_images_size() == 0);
  process.log.Flush();
  CHECK(process.stream.Read().find(
            R"("event":"record_damaged","key":"wf/sharing")") !=
        std::string::npos);
}

}  // namespace
}  // namespace waxwingfront::tests
