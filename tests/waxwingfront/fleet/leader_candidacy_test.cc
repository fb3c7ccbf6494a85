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

TEST_CASE("a request on a later page of the list reaches the leader",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  fleet::store_services services = store.Services();
  services.watch = [&, watch = services.watch](std::string_view prefix,
                                               std::int64_t after,
                                               milliseconds wait, auto done) {
    if (after > 1) return watch(prefix, after, wait, done);
    loop.After(milliseconds(1),
               [done] { done(fleet::store_changes{.compacted = true}); });
  };
  schema::fleet_strength record;
  record.set_strength(kStrong);
  services.range = [&](std::string_view, std::string_view after, auto done) {
    const bool first = after.empty();
    fleet::store_page page{.has_more = first, .at = 10};
    page.items.push_back({.key = first ? "wf/candidates/a" : "wf/candidates/b",
                          .value = record.SerializeAsString(),
                          .revision = first ? 1 : 9});
    loop.After(milliseconds(1), [done, page] { done(page); });
  };
  std::string asked;
  fleet::leader_candidacy candidacy(
      loop, services, "weak", kWeak, kQuick,
      {.under_weak_leader = [] { return false; },
       .ready = [] { return true; },
       .on_candidate = [&](const std::string& address,
                           std::int64_t) { asked += address; }});
  candidacy.OnElected(1);
  CHECK(RunUntil(
      loop, [&] { return asked == "b"; }, milliseconds(2000)));
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
