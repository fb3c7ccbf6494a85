// Results that callers get from an owner whose store calls fail.
#include "waxwingfront/shard/shard_owner.h"

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
using shard::shard_owner;

constexpr core::milliseconds kLongTimeout{20000};
constexpr core::milliseconds kShortTimeout{300};

std::unique_ptr<shard_owner> NewOwner(const faulty_store& store,
                                      const std::string& id) {
  return std::make_unique<shard_owner>(FastOwnerOptions(id), store.Client(),
                                       core::Now());
}

shard::shard_state LogState(const faulty_store& store) {
  auto recovered = shard::shard_log(store.Client(), "local/0").Recover();
  REQUIRE(recovered.has_value());
  return std::move(recovered->state);
}

std::future<core::result<schema::job_status>> SubmitLater(
    shard_owner& owner, const std::string& job) {
  return std::async(std::launch::async, [&owner, job] {
    return owner.Submit(ShortJob(job), kLongTimeout);
  });
}

// Makes the next write wait at `gate` and then end with `outcome`.
void HoldNextWrite(faulty_store& store, call_gate& gate, call_outcome outcome) {
  store.SetOutcome(
      [&gate, outcome, used = std::make_shared<std::atomic<bool>>(false)](
          std::string_view path) {
        if (path != kTxnPath || used->exchange(true))
          return call_outcome::kAnswered;
        gate.Pass();
        return outcome;
      });
}

// Guards against an owner that accepts work during an outage: design section
// 5.3 specifies `store_unavailable`.
TEST_CASE("shard owner accepts no work while a record is not confirmed",
          "[shard][owner]") {
  faulty_store store;
  const auto owner = NewOwner(store, "entry-0");
  REQUIRE(AwaitActive(*owner));
  store.SetOutcome(call_outcome::kRefused);
  const auto first = owner->Submit(ShortJob("first"), kShortTimeout);
  REQUIRE_FALSE(first.has_value());
  CHECK(first.error().code == error_code::kOutcomeUnknown);
  const auto second = owner->Submit(ShortJob("second"), kLongTimeout);
  REQUIRE_FALSE(second.has_value());
  CHECK(second.error().code == error_code::kStoreUnavailable);
  const auto repeated = owner->Submit(ShortJob("first"), kShortTimeout);
  REQUIRE_FALSE(repeated.has_value());
  CHECK(repeated.error().code == error_code::kOutcomeUnknown);
  const auto status = owner->Status("first", kShortTimeout);
  REQUIRE_FALSE(status.has_value());
  CHECK(status.error().code == error_code::kStoreUnavailable);

  store.SetOutcome(call_outcome::kAnswered);
  CHECK(owner->Submit(ShortJob("first"), kLongTimeout).has_value());
  CHECK(LogState(store).FindJob("first") != nullptr);
  CHECK(LogState(store).FindJob("second") == nullptr);
}

// Guards against `outcome_unknown` for a job that surely is not in the log.
TEST_CASE("shard owner reports not run when another owner's record is first",
          "[shard][owner]") {
  faulty_store store;
  const auto former = NewOwner(store, "entry-0");
  REQUIRE(AwaitActive(*former));
  call_gate gate;
  HoldNextWrite(store, gate, call_outcome::kAnswered);
  auto sent = SubmitLater(*former, "sent");
  gate.AwaitReached();
  auto queued = SubmitLater(*former, "queued");
  const auto next = NewOwner(store, "entry-1");
  REQUIRE(AwaitActive(*next));
  gate.Open();
  CHECK(sent.get().error().code == error_code::kNoOwner);
  CHECK(queued.get().error().code == error_code::kNoOwner);
  CHECK(LogState(store).Jobs().empty());
}

// Guards against "not run" for a job that is in the log: its caller would
// submit the work again under another id.
TEST_CASE(
    "shard owner reports outcome unknown when its record may be in the log",
    "[shard][owner]") {
  faulty_store store;
  const auto former = NewOwner(store, "entry-0");
  REQUIRE(AwaitActive(*former));
  std::atomic<bool> next_may_call{false};
  std::atomic<bool> applied{false};
  const auto former_thread = [&](std::string_view path) {
    if (next_may_call) return call_outcome::kAnswered;
    if (path == kTxnPath) applied = true;
    return call_outcome::kLostAfter;
  };
  store.SetOutcome(former_thread);
  auto sent = SubmitLater(*former, "sent");
  REQUIRE(AwaitCondition([&applied] { return applied.load(); }));
  SECTION("and the owner is halted") {
    former->Halt();
    CHECK(sent.get().error().code == error_code::kOutcomeUnknown);
  }
  SECTION("and a newer owner has compacted the record") {
    // The former owner's retries block at the gate while the next owner calls
    // the store.
    call_gate gate;
    store.SetOutcome([&](std::string_view /*path*/) {
      if (!next_may_call) gate.Pass();
      return call_outcome::kAnswered;
    });
    gate.AwaitReached();
    next_may_call = true;
    auto options = FastOwnerOptions("entry-1");
    options.snapshot_every = 1;
    shard_owner next(options, store.Client(), core::Now());
    REQUIRE(AwaitActive(next));
    REQUIRE(AwaitCondition([&store] {
      return store.Client().List("shards/local/0/log/")->empty();
    }));
    gate.Open();
    CHECK(sent.get().error().code == error_code::kOutcomeUnknown);
  }
  store.SetOutcome(call_outcome::kAnswered);
  CHECK(LogState(store).FindJob("sent") != nullptr);
}

// Guards against a caller that waits for its whole time limit on a halted
// owner.
TEST_CASE("shard owner returns to waiting callers when it is halted",
          "[shard][owner]") {
  faulty_store store;
  const auto owner = NewOwner(store, "entry-0");
  REQUIRE(AwaitActive(*owner));
  call_gate gate;
  HoldNextWrite(store, gate, call_outcome::kLostBefore);
  auto sent = SubmitLater(*owner, "sent");
  gate.AwaitReached();
  owner->Halt();
  CHECK(sent.get().error().code == error_code::kOutcomeUnknown);
  CHECK(owner->Submit(ShortJob("late"), kLongTimeout).error().code ==
        error_code::kNoOwner);
  gate.Open();
}

// Guards against an epoch record that hides a clean hand-over: the next owner
// would unnecessarily wait for the former owner's grace, 10 minutes.
TEST_CASE("shard owner repeats its epoch record after lost responses",
          "[shard][owner]") {
  faulty_store store;
  std::atomic<int> lost{4};
  store.SetOutcome([&lost](std::string_view path) {
    const bool counted = path == kTxnPath || lost < 4;
    return counted && lost-- > 0 ? call_outcome::kLostAfter
                                 : call_outcome::kAnswered;
  });
  const auto owner = NewOwner(store, "entry-0");
  REQUIRE(AwaitActive(*owner));
  CHECK(store.Client().List("shards/local/0/log/")->size() == 1);
  CHECK(LogState(store).Epoch() == 1);
}

// Guards against a clean hand-over that the next owner does not recognise.
TEST_CASE("shard owner's resign record survives a lost response",
          "[shard][owner]") {
  faulty_store store;
  const auto owner = NewOwner(store, "entry-0");
  REQUIRE(AwaitActive(*owner));
  std::atomic<int> lost{2};
  store.SetOutcome([&lost](std::string_view /*path*/) {
    return lost-- > 0 ? call_outcome::kLostAfter : call_outcome::kAnswered;
  });
  owner->Resign(kLongTimeout);
  CHECK(LogState(store).Resigned());
  CHECK(owner->Submit(ShortJob("late"), kLongTimeout).error().code ==
        error_code::kNoOwner);
}

}  // namespace
}  // namespace waxwingfront::tests
