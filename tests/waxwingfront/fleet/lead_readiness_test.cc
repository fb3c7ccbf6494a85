#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "support/fake_store.h"
#include "support/fleet_process.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/leader_announcer.h"
#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// The reads and watches of one process; responses are held back while the store
// is silent.
class observed_reads {
 public:
  observed_reads(net::event_loop& loop, fleet::store_services& services)
      : loop_(loop) {
    services.get = [this, get = services.get](std::string_view key, auto done) {
      get(key, Observe<core::result<fleet::store_page>>(key, std::move(done)));
    };
    services.watch = [this, watch = services.watch](
                         std::string_view prefix, std::int64_t after,
                         milliseconds wait, auto done) {
      watch(
          prefix, after, wait,
          Observe<core::result<fleet::store_changes>>(prefix, std::move(done)));
    };
  }
  observed_reads(const observed_reads&) = delete;
  observed_reads& operator=(const observed_reads&) = delete;

  // When the last response about `key` was delivered.
  core::monotonic_time HeardOf(std::string_view key) const {
    const auto found = heard_.find(key);
    return found == heard_.end() ? core::monotonic_time{} : found->second;
  }

  bool silent = false;

 private:
  template <typename Reply>
  std::function<void(Reply)> Observe(std::string_view key,
                                     std::function<void(Reply)> done) {
    return [this, key = std::string(key), done = std::move(done)](Reply reply) {
      Deliver([this, key, done, reply = std::move(reply)] {
        heard_[key] = core::Now();
        done(reply);
      });
    };
  }

  void Deliver(const std::function<void()>& response) {
    constexpr milliseconds kInterval{5};
    if (!silent) return response();
    loop_.After(kInterval, [this, response] { Deliver(response); });
  }

  net::event_loop& loop_;
  std::map<std::string, core::monotonic_time, std::less<>> heard_;
};

// Guards against a small leader that hands over to a machine which the store
// does not answer.
TEST_CASE("a process whose store is silent is not named as the successor",
          "[fleet]") {
  constexpr milliseconds kSilence{1600};
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process former(loop, store, kStrong);
  REQUIRE(RunUntil(loop, [&] { return former.Leads(store); }));
  fleet_process strong(loop, store, kStrong);
  observed_reads reads(loop, strong.store);
  fleet_process weak(loop, store, kWeak);
  REQUIRE(
      RunUntil(loop, [&] { return strong.node.Ready() && weak.node.Ready(); }));
  // The leader key has just been heard of when the silence begins.
  const core::monotonic_time before = core::Now();
  REQUIRE(RunUntil(loop,
                   [&] { return reads.HeardOf(fleet::kLeaderKey) > before; }));
  reads.silent = true;
  RunFor(loop, kSilence);
  former.node.Resign();
  REQUIRE(RunUntil(loop, [&] { return weak.Leads(store); }));
  RunFor(loop, milliseconds(1000));
  CHECK(weak.Events("leader_hands_over") == 0);
  CHECK(weak.Leads(store));
  reads.silent = false;
  CHECK(RunUntil(loop, [&] { return strong.Leads(store); }));
}

// Guards against processes that count as not ready because nothing changes.
TEST_CASE("a process stays ready to lead while its watches are answered",
          "[fleet]") {
  constexpr milliseconds kTime{3000};
  constexpr milliseconds kManifestBound{1500};
  constexpr milliseconds kKeyBound{2500};
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet_process leader(loop, store, kStrong);
  REQUIRE(RunUntil(loop, [&] { return leader.Leads(store); }));
  fleet_process other(loop, store, kStrong);
  observed_reads reads(loop, other.store);
  const auto heard_both = [&](core::monotonic_time since) {
    return reads.HeardOf(fleet::kLeaderKey) > since &&
           reads.HeardOf("manifest") > since;
  };
  const core::monotonic_time before = core::Now();
  REQUIRE(RunUntil(loop, [&] { return heard_both(before); }));
  int asked = 0;
  int unready = 0;
  bool waiting = false;
  // Asks for the status as a leader does, under a token that changes nothing.
  const auto ask = [&] {
    if (std::exchange(waiting, true)) return;
    const core::monotonic_time manifest = reads.HeardOf("manifest");
    const core::monotonic_time key = reads.HeardOf(fleet::kLeaderKey);
    other.client.Send(
        {.address = other.node.Address(),
         .method = "POST",
         .target = std::string(fleet::kAnnouncePath)},
        [&, manifest, key](const core::result<net::http_reply>& reply) {
          waiting = false;
          const core::monotonic_time now = core::Now();
          // The loop itself was late.
          if (now - manifest > kManifestBound || now - key > kKeyBound) return;
          schema::fleet_standing status;
          REQUIRE(reply);
          REQUIRE(status.ParseFromString(reply->body));
          ++asked;
          if (!status.ready()) ++unready;
        });
  };
  RunUntil(
      loop,
      [&] {
        ask();
        return false;
      },
      kTime);
  RunUntil(loop, [&] { return !waiting; });
  CHECK(asked > 0);
  CHECK(unready == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
