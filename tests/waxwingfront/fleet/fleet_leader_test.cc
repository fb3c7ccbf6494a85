#include "waxwingfront/fleet/fleet_leader.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "support/fake_store.h"
#include "support/fleet_fixture.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// Guards against starts that wait for events that silent executors never send.
TEST_CASE("a leader sends further starts although no executor responds",
          "[fleet]") {
  // The link carries one start in 100 ms.
  constexpr double kLinkMbps = 1.0;
  constexpr std::size_t kPayload = 9'500;
  constexpr milliseconds kNever{60'000};
  // The store's first revision, of the leader's key.
  constexpr std::int64_t kToken = 2;
  net::event_loop loop;
  logging::event_log log{{.descriptor = -1}};
  fake_store platform(loop);
  fleet::store_services store = platform.Services();
  store.read_executor = [](std::string_view, std::string_view) {
    return core::result<fleet::executor_info>(
        fleet::executor_info{.id = "a",
                             .address = "a",
                             .service = "s",
                             .capacity = {.processor_milli = 8000}});
  };
  platform.Put(std::string(fleet::kLeaderKey), "leader");
  platform.Put("executors/a", "a");
  std::size_t starts = 0;
  const fleet::executor_services executors{
      .hold =
          [&starts](const fleet::hold_request&, auto done) {
            if (starts == 0)
              done(fleet::hold_report{.born_ms = 1, .clock_ms = 1});
          },
      .start = [&starts](auto...) { ++starts; },
      .stop = [](auto...) {},
      .pace = [](auto...) {},
      .advise = [](auto...) {}};
  fleet::fleet_leader leader(
      loop, store, executors, kToken, core::Now(),
      {.core = {.starts = {.link_mbps = kLinkMbps}}, .tick = kNever},
      {.may_order = [] { return true; },
       .on_deposed = [](std::string_view) {},
       .now = [] { return fleet::moment{.now = core::Now()}; },
       .leases_first_seen = {},
       .suspended = {},
       .on_stage = {}},
      log);
  leader.SetManifest(ManifestOf({{}}));
  REQUIRE(RunUntil(loop, [&leader] { return leader.Loaded(); }));
  schema::fleet_job job = JobOf("job", 3, 1);
  job.set_payload(std::string(kPayload, 'x'));
  leader.Core().Submit(job, {.now = core::Now()});
  REQUIRE(RunUntil(loop, [&] {
    leader.ScheduleRound();
    return starts == 1;
  }));
  CHECK(RunUntil(
      loop, [&starts] { return starts == 2; }, milliseconds(1200)));
}

}  // namespace
}  // namespace waxwingfront::tests
