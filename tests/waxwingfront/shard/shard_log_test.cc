// Tests of a shard's log with the stand-in store and faults between any two
// calls.
#include "waxwingfront/shard/shard_log.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>

#include "support/faulty_store.h"

namespace waxwingfront::tests {
namespace {

using core::error_code;
using shard::append_outcome;
using shard::log_append;
using shard::recovered_shard;
using shard::shard_log;

constexpr std::string_view kShard = "local/0";

// A writer that behaves like `shard_owner`: recovers the log, begins an epoch
// and writes one record after the other, each until its outcome is known.
struct log_writer {
  explicit log_writer(const faulty_store& store)
      : log(store.Client(), kShard) {}

  // Returns false if the log cannot be read.
  bool Recover() {
    auto read = log.Recover();
    if (!read) return false;
    state = std::move(*read);
    epoch = state.state.Epoch() + 1;
    pending.reset();
    return true;
  }

  void PrepareEpoch() {
    Prepare();
    schema::decision& decision = *pending->record.add_decisions();
    decision.mutable_epoch()->set_epoch(epoch);
  }

  void PrepareJob(const std::string& job) {
    Prepare();
    schema::job_spec& spec =
        *pending->record.add_decisions()->mutable_accepted()->mutable_spec();
    spec.set_id(job);
    spec.set_task_count(1);
  }

  core::result<append_outcome> Write() {
    auto outcome = log.Append(*pending);
    if (outcome && *outcome == append_outcome::kApplied) {
      for (const schema::decision& decision : pending->record.decisions())
        REQUIRE(state.state.Apply(decision).has_value());
      ++state.next_number;
      pending.reset();
    }
    return outcome;
  }

  bool TakeOver() {
    if (!Recover()) return false;
    PrepareEpoch();
    return Write() == append_outcome::kApplied;
  }

  core::result<append_outcome> WriteJob(const std::string& job) {
    PrepareJob(job);
    return Write();
  }

  core::result<void> Compact() {
    return log.Compact(state.state.ToSnapshot(state.next_number - 1));
  }

  shard_log log;
  recovered_shard state;
  std::uint64_t epoch = 0;
  std::optional<log_append> pending;

 private:
  void Prepare() {
    static std::uint64_t nonce = 0;
    pending = log_append{.number = state.next_number, .record = {}};
    pending->record.set_epoch(epoch);
    pending->record.set_nonce(++nonce);
  }
};

std::string RecordKey(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return "shards/local/0/log/" + std::string(20 - digits.size(), '0') + digits;
}

bool HasJob(const faulty_store& store, const std::string& job) {
  log_writer reader(store);
  REQUIRE(reader.Recover());
  return reader.state.state.FindJob(job) != nullptr;
}

// Sets the outcome of the next call of `path` to `outcome`; all other calls
// succeed.
void SetNextOutcome(faulty_store& store, std::string_view path,
                    call_outcome outcome) {
  store.SetOutcome([path, outcome, used = std::make_shared<bool>(false)](
                       std::string_view called) {
    if (called != path || std::exchange(*used, true))
      return call_outcome::kAnswered;
    return outcome;
  });
}

// Guards against an owner that mistakes its own record for that of another
// owner, or writes it a second time.
TEST_CASE("shard log recognises its own record after a lost response",
          "[shard][log]") {
  faulty_store store;
  log_writer writer(store);
  REQUIRE(writer.TakeOver());
  SECTION("only the response to the write is lost") {
    SetNextOutcome(store, kTxnPath, call_outcome::kLostAfter);
    CHECK(writer.WriteJob("a") == append_outcome::kApplied);
  }
  SECTION("the responses to the write and to the read are lost") {
    store.SetOutcome(call_outcome::kLostAfter);
    CHECK_FALSE(writer.WriteJob("a").has_value());
    store.SetOutcome(call_outcome::kAnswered);
    CHECK(writer.Write() == append_outcome::kApplied);
  }
  SECTION("the write is delayed until after its retry") {
    SetNextOutcome(store, kTxnPath, call_outcome::kHeld);
    CHECK_FALSE(writer.WriteJob("a").has_value());
    CHECK(writer.Write() == append_outcome::kApplied);
    store.DeliverHeld();
  }
  SECTION("the store rejects the write") {
    SetNextOutcome(store, kTxnPath, call_outcome::kRefused);
    CHECK_FALSE(writer.WriteJob("a").has_value());
    CHECK_FALSE(HasJob(store, "a"));
    CHECK(writer.Write() == append_outcome::kApplied);
  }
  CHECK(writer.WriteJob("b") == append_outcome::kApplied);
  CHECK((HasJob(store, "a") && HasJob(store, "b")));
}

// Guards against a log that cannot be read after a crash during a compaction.
TEST_CASE("shard log survives a crash between snapshot and trim",
          "[shard][log]") {
  faulty_store store;
  log_writer writer(store);
  REQUIRE(writer.TakeOver());
  REQUIRE(writer.WriteJob("a") == append_outcome::kApplied);
  SetNextOutcome(store, kDeletePath, call_outcome::kLostBefore);
  CHECK_FALSE(writer.Compact().has_value());
  CHECK(store.Client().List("shards/local/0/log/")->size() == 2);
  log_writer next(store);
  REQUIRE(next.TakeOver());
  CHECK(next.state.state.FindJob("a") != nullptr);
  REQUIRE(next.WriteJob("b") == append_outcome::kApplied);
  REQUIRE(next.Compact().has_value());
  CHECK(store.Client().List("shards/local/0/log/")->empty());
  CHECK((HasJob(store, "a") && HasJob(store, "b")));
}

// Guards against a former owner that rewrites a number which a newer owner has
// compacted.
TEST_CASE("shard log rejects a former owner after a compaction",
          "[shard][log]") {
  faulty_store store;
  log_writer former(store);
  REQUIRE(former.TakeOver());
  former.PrepareJob("lost");
  log_writer next(store);
  REQUIRE(next.TakeOver());
  REQUIRE(next.WriteJob("kept") == append_outcome::kApplied);
  REQUIRE(next.Compact().has_value());
  CHECK(former.Write() == append_outcome::kDeposed);
  CHECK_FALSE(HasJob(store, "lost"));
  // The same write without the condition on the epoch would take effect.
  CHECK(store.Client().CreateIfAbsent(RecordKey(former.pending->number), "x") ==
        store::write_outcome::kApplied);
}

// Guards against an owner that misses records which are written while it reads
// the log.
TEST_CASE("shard log's recovery notices a concurrent writer", "[shard][log]") {
  faulty_store store;
  log_writer former(store);
  REQUIRE(former.TakeOver());
  REQUIRE(former.WriteJob("a") == append_outcome::kApplied);
  log_writer next(store);
  SECTION("the writer appends after the log was read") {
    REQUIRE(next.Recover());
    REQUIRE(former.WriteJob("b") == append_outcome::kApplied);
  }
  SECTION("the writer appends, compacts and frees the number") {
    REQUIRE(next.Recover());
    REQUIRE(former.WriteJob("b") == append_outcome::kApplied);
    REQUIRE(former.Compact().has_value());
  }
  next.PrepareEpoch();
  CHECK(next.Write() != append_outcome::kApplied);
  REQUIRE(next.TakeOver());
  CHECK(next.state.state.FindJob("b") != nullptr);
}

// Guards against a recovery that reads the snapshot before a compaction and the
// records after it, and thus misses the compacted records.
TEST_CASE("shard log's recovery is complete during a compaction",
          "[shard][log]") {
  faulty_store store;
  log_writer former(store);
  REQUIRE(former.TakeOver());
  REQUIRE(former.WriteJob("a") == append_outcome::kApplied);
  const int compact_at = GENERATE(0, 1, 2);
  CAPTURE(compact_at);
  int reads = 0;
  bool compacting = false;
  store.SetOutcome([&](std::string_view path) {
    if (path == kRangePath && !compacting && reads++ == compact_at) {
      compacting = true;
      REQUIRE(former.Compact().has_value());
      compacting = false;
    }
    return call_outcome::kAnswered;
  });
  log_writer next(store);
  REQUIRE(next.Recover());
  CHECK(next.state.state.FindJob("a") != nullptr);
  CHECK(next.state.next_number == 3);
}

// Guards against a shard that continues without acknowledged records.
TEST_CASE("shard log reports damaged and missing records", "[shard][log]") {
  faulty_store store;
  log_writer writer(store);
  REQUIRE(writer.TakeOver());
  for (const char* job : {"a", "b", "c"})
    REQUIRE(writer.WriteJob(job) == append_outcome::kApplied);
  const auto& client = store.Client();
  const auto erase = [&client](std::uint64_t first, std::uint64_t end) {
    REQUIRE(client.DeleteRange(RecordKey(first), RecordKey(end)).has_value());
  };
  const auto spoil = [&client](const std::string& key) {
    const store::write_item item{.key = key, .value = "\xff\xff damaged"};
    REQUIRE(client.WriteIf({}, {&item, 1}).has_value());
  };
  SECTION("a record in the middle is missing") { erase(2, 3); }
  SECTION("the first record is missing") { erase(1, 2); }
  SECTION("all records are missing") { erase(1, 5); }
  SECTION("a record is damaged") { spoil(RecordKey(3)); }
  SECTION("the snapshot is damaged") { spoil("shards/local/0/snapshot"); }
  SECTION("the epoch is damaged") { spoil("shards/local/0/epoch"); }
  SECTION("the record after the snapshot is missing") {
    REQUIRE(writer.Compact().has_value());
    REQUIRE(writer.WriteJob("d") == append_outcome::kApplied);
    REQUIRE(writer.WriteJob("e") == append_outcome::kApplied);
    erase(5, 6);
  }
  const auto recovered = shard_log(client, kShard).Recover();
  REQUIRE_FALSE(recovered.has_value());
  CHECK(recovered.error().code == error_code::kProtocol);
}

// Guards against an epoch record that takes effect late, after its writer has
// read the log again.
TEST_CASE("shard log ignores a delayed epoch record", "[shard][log]") {
  faulty_store store;
  log_writer writer(store);
  REQUIRE(writer.Recover());
  writer.PrepareEpoch();
  SetNextOutcome(store, kTxnPath, call_outcome::kHeld);
  CHECK_FALSE(writer.Write().has_value());
  REQUIRE(writer.TakeOver());
  store.DeliverHeld();
  CHECK(writer.WriteJob("a") == append_outcome::kApplied);
  CHECK(HasJob(store, "a"));
}

// Records that were acknowledged to the writers, for a check against the log.
struct acknowledged_log {
  std::map<std::uint64_t, std::uint64_t> epoch_of;
  std::vector<std::string> jobs;
};

void Acknowledge(acknowledged_log& acknowledged, const log_append& append) {
  const auto [entry, added] =
      acknowledged.epoch_of.emplace(append.number, append.record.epoch());
  RC_ASSERT(added || entry->second == append.record.epoch());
  const schema::decision& decision = append.record.decisions(0);
  if (decision.has_accepted())
    acknowledged.jobs.push_back(decision.accepted().spec().id());
}

call_outcome RandomOutcome() {
  return *rc::gen::weightedElement<call_outcome>(
      {{12, call_outcome::kAnswered},
       {1, call_outcome::kRefused},
       {1, call_outcome::kLostBefore},
       {2, call_outcome::kLostAfter},
       {2, call_outcome::kHeld}});
}

// Guards against lost or duplicate records, and against a former owner that
// writes again, when several writers use one log.
TEST_CASE("shard log stays consistent under several writers and faults",
          "[shard][log][property]") {
  rc::prop("acknowledged records remain; deposed writers write none", [] {
    constexpr int kWriters = 3;
    constexpr int kSteps = 60;
    enum class step_kind { kTakeOver, kWrite, kCompact, kDeliver };
    faulty_store store;
    std::vector<log_writer> writers;
    std::set<int> deposed;
    std::set<int> active;
    acknowledged_log acknowledged;
    writers.reserve(kWriters);
    for (int index = 0; index < kWriters; ++index) writers.emplace_back(store);
    for (int step = 0; step < kSteps; ++step) {
      store.SetOutcome(
          [](std::string_view /*path*/) { return RandomOutcome(); });
      const int index = *rc::gen::inRange(0, kWriters);
      log_writer& writer = writers[index];
      const auto kind =
          *rc::gen::weightedElement<step_kind>({{2, step_kind::kTakeOver},
                                                {10, step_kind::kWrite},
                                                {3, step_kind::kCompact},
                                                {2, step_kind::kDeliver}});
      if (kind == step_kind::kDeliver) store.DeliverHeld();
      if (kind == step_kind::kCompact && active.contains(index) &&
          !writer.pending.has_value()) {
        static_cast<void>(writer.Compact());
      }
      if (kind == step_kind::kTakeOver && writer.Recover()) {
        writer.PrepareEpoch();
        deposed.erase(index);
        active.insert(index);
      }
      if (kind == step_kind::kWrite && active.contains(index)) {
        if (!writer.pending.has_value())
          writer.PrepareJob("job-" + std::to_string(step));
        const log_append append = *writer.pending;
        const auto outcome = writer.Write();
        if (outcome && *outcome == append_outcome::kApplied) {
          RC_ASSERT(!deposed.contains(index));
          Acknowledge(acknowledged, append);
        } else if (outcome) {
          deposed.insert(index);
          // The next write is a new record.
          if (!append.record.decisions(0).has_epoch()) writer.pending.reset();
        }
      }
    }
    store.SetOutcome(call_outcome::kAnswered);
    store.DeliverHeld();
    log_writer reader(store);
    RC_ASSERT(reader.Recover());
    for (const std::string& job : acknowledged.jobs)
      RC_ASSERT(reader.state.state.FindJob(job) != nullptr);
    std::uint64_t epoch = 0;
    for (const auto& [number, of_record] : acknowledged.epoch_of) {
      RC_ASSERT(number < reader.state.next_number);
      RC_ASSERT(of_record >= epoch);
      epoch = of_record;
    }
    // The log can still be appended to.
    RC_ASSERT(reader.TakeOver());
  });
}

}  // namespace
}  // namespace waxwingfront::tests
