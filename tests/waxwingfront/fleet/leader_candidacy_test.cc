#include "waxwingfront/fleet/leader_candidacy.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "support/fake_store.h"
#include "support/fleet_process.h"
#include "support/loop_runner.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

constexpr fleet::leader_candidacy_options kQuick{
    .check_interval = milliseconds(10), .patience = milliseconds(100)};

// Counts the requests of a candidate.
struct counted_requests {
  counted_requests(net::event_loop& loop, fleet::leader_candidacy_hooks hooks)
      : store(loop), services(store.Services()) {
    services.write = [this](const fleet::store_write&, auto) { ++requests; };
    hooks.on_candidate = [](const std::string&, std::int64_t) {};
    candidacy.emplace(loop, services, "strong", kStrong, kQuick,
                      std::move(hooks));
    candidacy->Start();
  }

  int requests = 0;
  fake_store store;
  fleet::store_services services;
  std::optional<fleet::leader_candidacy> candidacy;
};

TEST_CASE("weak leaders that follow each other are asked for leadership",
          "[fleet]") {
  net::event_loop loop;
  int checks = 0;
  // Every fourth check finds no leader.
  counted_requests counted(
      loop, {.under_weak_leader = [&checks]() -> std::optional<bool> {
               if (++checks % 4 == 0) return std::nullopt;
               return true;
             },
             .ready = [] { return true; }});
  CHECK(RunUntil(loop, [&] { return counted.requests == 3; }));
}

TEST_CASE("a candidate that is not ready for a moment keeps its turn",
          "[fleet]") {
  net::event_loop loop;
  int checks = 0;
  counted_requests counted(loop, {.under_weak_leader = [] { return true; },
                                  .ready = [&] { return ++checks % 4 == 0; }});
  CHECK(RunUntil(loop, [&] { return counted.requests == 3; }));
}

TEST_CASE("a strong leader is not asked for leadership", "[fleet]") {
  net::event_loop loop;
  counted_requests counted(loop, {.under_weak_leader = [] { return false; },
                                  .ready = [] { return true; }});
  RunFor(loop, milliseconds(400));
  CHECK(counted.requests == 0);
}

TEST_CASE("a request written while history is gone reaches the leader",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  fleet::store_services services = store.Services();
  bool compacted = true;
  services.watch = [&, watch = services.watch](std::string_view prefix,
                                               std::int64_t after,
                                               milliseconds wait, auto done) {
    if (!compacted) return watch(prefix, after, wait, done);
    compacted = false;
    schema::fleet_strength record;
    record.set_strength(kStrong);
    store.Put("wf/candidates/strong", record.SerializeAsString());
    loop.After(milliseconds(1),
               [done] { done(fleet::store_changes{.compacted = true}); });
  };
  int asked = 0;
  fleet::leader_candidacy candidacy(
      loop, services, "weak", kWeak, kQuick,
      {.under_weak_leader = [] { return false; },
       .ready = [] { return true; },
       .on_candidate = [&](const std::string&, std::int64_t) { ++asked; }});
  candidacy.OnElected(1);
  CHECK(RunUntil(loop, [&] { return asked == 1; }));
}

}  // namespace
}  // namespace waxwingfront::tests
