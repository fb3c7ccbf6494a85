// Shard ownership when leases end, responses are lost and claims race.
#include "waxwingfront/shard/shard_manager.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "support/call_gate.h"
#include "support/faulty_store.h"
#include "support/owner_options.h"
#include "waxwingfront/shard/shard_log.h"

namespace waxwingfront::tests {
namespace {

using core::error_code;
using shard::shard_manager;

constexpr std::string_view kShard = "local/0";
constexpr std::string_view kOwnerKey = "owners/local/0";
constexpr core::milliseconds kLongTimeout{20000};

shard::shard_manager_options ManagerOptions(const std::string& id) {
  shard::shard_owner_options owner = FastOwnerOptions(id);
  owner.hosts = [] { return MakeHostView({std::string(kShard)}); };
  return {.entry_id = id,
          .peer_address = "address-of-" + id,
          .failure_domain = "local",
          .owner = std::move(owner)};
}

// Polls until `manager` owns the shard. An entry waits one poll for each entry
// that precedes it in the shard's order.
bool PollUntilOwned(shard_manager& manager) {
  constexpr int kPolls = 4;
  for (int poll = 0; poll < kPolls; ++poll) {
    static_cast<void>(manager.Poll());
    if (manager.LocalOwner(kShard) != nullptr) return true;
  }
  return false;
}

// Guards against an owner that continues after the store has ended its lease.
TEST_CASE("shard manager drops its shards when the store lease has ended",
          "[shard][manager]") {
  faulty_store store;
  shard_manager manager(ManagerOptions("entry-0"), store.Client());
  REQUIRE(PollUntilOwned(manager));
  const auto former = manager.LocalOwner(kShard);
  REQUIRE(AwaitActive(*former));
  store.EndLeaseOf(kOwnerKey);
  REQUIRE(manager.Poll().has_value());
  // The object rejects calls of a caller that still holds it.
  CHECK(former->Submit(ShortJob("late"), kLongTimeout).error().code ==
        error_code::kNoOwner);
  REQUIRE(PollUntilOwned(manager));
  CHECK(manager.LocalOwner(kShard) != former);
  REQUIRE(AwaitActive(*manager.LocalOwner(kShard)));
}

// Guards against a dropped owner object that still sends to workers: a waiting
// caller keeps it alive for seconds.
TEST_CASE("shard manager's dropped owner sends nothing while a caller holds it",
          "[shard][manager]") {
  faulty_store store;
  std::atomic<int> sent{0};
  auto options = ManagerOptions("entry-0");
  options.owner.sync = [&sent](const std::string& address,
                               const schema::sync_request& /*request*/)
      -> core::result<schema::sync_response> {
    ++sent;
    return core::Failure(error_code::kUnreachable, address);
  };
  shard_manager manager(options, store.Client());
  REQUIRE(PollUntilOwned(manager));
  const auto former = manager.LocalOwner(kShard);
  REQUIRE(AwaitCondition([&sent] { return sent > 0; }));
  manager.StopClaiming();
  store.EndLeaseOf(kOwnerKey);
  REQUIRE(manager.Poll().has_value());
  const int sent_before = sent;
  // Twenty sync periods. Each thread may still send the message that it was
  // about to send.
  std::this_thread::sleep_for(core::milliseconds(200));
  CHECK(sent <= sent_before + options.owner.sync_threads);
}

// Guards against batch work that stops in an outage shorter than the grace, and
// against an owner that continues after the outage without checking its lease.
TEST_CASE("shard manager keeps its shards while the store is down",
          "[shard][manager]") {
  faulty_store store;
  shard_manager manager(ManagerOptions("entry-0"), store.Client());
  shard_manager other(ManagerOptions("entry-1"), store.Client());
  REQUIRE(PollUntilOwned(manager));
  const auto owner = manager.LocalOwner(kShard);
  store.SetOutcome(call_outcome::kUnreachable);
  CHECK_FALSE(manager.Poll().has_value());
  CHECK(manager.LocalOwner(kShard) == owner);
  CHECK(manager.OwnerAddress(kShard) == "address-of-entry-0");
  store.SetOutcome(call_outcome::kAnswered);
  SECTION("and continues when the lease is still valid") {
    REQUIRE(manager.Poll().has_value());
    CHECK(manager.LocalOwner(kShard) == owner);
  }
  SECTION("and drops a shard that another entry has claimed meanwhile") {
    store.EndLeaseOf(kOwnerKey);
    REQUIRE(PollUntilOwned(other));
    REQUIRE(AwaitActive(*other.LocalOwner(kShard)));
    REQUIRE(manager.Poll().has_value());
    CHECK(manager.LocalOwner(kShard) == nullptr);
    CHECK(manager.OwnerAddress(kShard) == "address-of-entry-1");
  }
}

// Guards against two entries that both consider themselves a shard's owner.
TEST_CASE("concurrent claims of shard managers produce one owner",
          "[shard][manager]") {
  faulty_store store;
  shard_manager first(ManagerOptions("entry-0"), store.Client());
  shard_manager second(ManagerOptions("entry-1"), store.Client());
  REQUIRE(second.Poll().has_value());
  const bool second_was_first = second.LocalOwner(kShard) != nullptr;
  if (second_was_first) second.Stop(kLongTimeout);
  shard_manager rival(ManagerOptions("entry-2"), store.Client());
  // Atomic, since owners' threads call the store as well.
  std::atomic<int> writes{0};
  std::atomic<bool> inside{false};
  bool rival_owns = false;
  // The writes of a first poll are the lease, the entry's record and the claim.
  // The rival claims just before the last one.
  store.SetOutcome([&](std::string_view path) {
    if (!inside && path == kTxnPath && ++writes == 2) {
      inside = true;
      rival_owns = PollUntilOwned(rival);
      inside = false;
    }
    return call_outcome::kAnswered;
  });
  for (int poll = 0; poll < 4 && writes < 2; ++poll)
    static_cast<void>(first.Poll());
  store.SetOutcome(call_outcome::kAnswered);
  REQUIRE(rival_owns);
  CHECK(first.LocalOwner(kShard) == nullptr);
  REQUIRE(first.Poll().has_value());
  CHECK(first.LocalOwner(kShard) == nullptr);
  CHECK(first.OwnerAddress(kShard) == "address-of-entry-2");
}

// Guards against a shard with an ownership key but without an owner: no other
// entry claims it while this entry renews its lease.
TEST_CASE("shard manager recognises its claim after a lost response",
          "[shard][manager]") {
  faulty_store store;
  shard_manager manager(ManagerOptions("entry-0"), store.Client());
  std::atomic<int> writes{0};
  store.SetOutcome([&writes](std::string_view path) {
    return path == kTxnPath && ++writes == 2 ? call_outcome::kLostAfter
                                             : call_outcome::kAnswered;
  });
  REQUIRE(manager.Poll().has_value());
  CHECK(manager.LocalOwner(kShard) == nullptr);
  REQUIRE(manager.Poll().has_value());
  REQUIRE(manager.LocalOwner(kShard) != nullptr);
  CHECK(AwaitActive(*manager.LocalOwner(kShard)));
}

// Guards against a claim that outlives its lease, after which no entry could
// ever claim the shard again.
TEST_CASE("shard manager's claim under an ended lease has no effect",
          "[shard][manager]") {
  faulty_store store;
  shard_manager manager(ManagerOptions("entry-0"), store.Client());
  std::atomic<int> writes{0};
  store.SetOutcome([&](std::string_view path) {
    if (path == kTxnPath && ++writes == 2) {
      const auto listed = store.Client().List("entries/");
      for (const auto& item : *listed) store.EndLeaseOf(item.key);
    }
    return call_outcome::kAnswered;
  });
  REQUIRE(manager.Poll().has_value());
  CHECK(manager.LocalOwner(kShard) == nullptr);
  CHECK(store.Client().List("owners/")->empty());
  REQUIRE(PollUntilOwned(manager));
}

// Guards against a restarted entry that takes its former process's ownership
// record for its own: it would act without the lease of that key.
TEST_CASE("shard manager does not own what its former process owned",
          "[shard][manager]") {
  faulty_store store;
  auto former = std::make_unique<shard_manager>(ManagerOptions("entry-0"),
                                                store.Client());
  REQUIRE(PollUntilOwned(*former));
  former.reset();
  shard_manager restarted(ManagerOptions("entry-0"), store.Client());
  CHECK_FALSE(PollUntilOwned(restarted));
  store.EndLeaseOf(kOwnerKey);
  REQUIRE(PollUntilOwned(restarted));
  CHECK(AwaitActive(*restarted.LocalOwner(kShard)));
}

// Guards against a hand-over after which the next owner still waits for the
// former owner's grace or lease.
TEST_CASE("shard manager hands its shards over when it stops",
          "[shard][manager]") {
  faulty_store store;
  shard_manager leaving(ManagerOptions("entry-0"), store.Client());
  shard_manager next(ManagerOptions("entry-1"), store.Client());
  REQUIRE(PollUntilOwned(leaving));
  REQUIRE(AwaitActive(*leaving.LocalOwner(kShard)));
  leaving.StopClaiming();
  REQUIRE(leaving.Poll().has_value());
  CHECK(leaving.LocalOwner(kShard) != nullptr);
  leaving.Stop(kLongTimeout);
  CHECK(store.Client().List("owners/")->empty());
  CHECK(store.Client().List("entries/")->empty());
  const auto log = shard::shard_log(store.Client(), kShard).Recover();
  REQUIRE(log.has_value());
  CHECK(log->state.Resigned());
  REQUIRE(PollUntilOwned(next));
  CHECK(AwaitActive(*next.LocalOwner(kShard)));
}

// Guards against an entry that claims shards just before it resigns them.
TEST_CASE("shard manager claims no shard after StopClaiming",
          "[shard][manager]") {
  faulty_store store;
  shard_manager manager(ManagerOptions("entry-0"), store.Client());
  manager.StopClaiming();
  CHECK_FALSE(PollUntilOwned(manager));
  CHECK(store.Client().List("entries/")->size() == 1);
}

// Guards against a poll concurrent with `Stop` that leaves a lease behind or
// accesses state that `Stop` modifies.
TEST_CASE("shard manager can be polled while it stops", "[shard][manager]") {
  faulty_store store;
  shard_manager manager(ManagerOptions("entry-0"), store.Client());
  REQUIRE(PollUntilOwned(manager));
  std::atomic<bool> done{false};
  std::thread poller([&] {
    while (!done) static_cast<void>(manager.Poll());
  });
  manager.Stop(kLongTimeout);
  CHECK(store.Client().List("entries/")->empty());
  static_cast<void>(manager.Poll());
  done = true;
  poller.join();
  CHECK(store.Client().List("entries/")->empty());
  CHECK(manager.OwnedCount() == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
