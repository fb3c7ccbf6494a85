#include "waxwingfront/fleet/write_pacer.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/fake_record_store.h"
#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using fleet::write_batch;
using fleet::write_pacer;
using fleet::write_pacer_options;

constexpr std::size_t kMaxRecords = 15;
constexpr std::int64_t kStoreLatencyMs = 4;
// Target of the median time from acceptance to the first start.
constexpr std::int64_t kFirstStartMs = 30;

// Writes the changes in the fleet as the leader does, in steps of one
// millisecond.
class paced_store {
 public:
  paced_store(fleet_fixture& fixture, write_pacer_options options)
      : fixture_(fixture), pacer_(options), token_(records_.Claim()) {}

  // If false, the writes get no response.
  bool store_responds = true;

  void Run(std::int64_t ms) {
    for (const std::int64_t end = now_ms_ + ms; now_ms_ < end; ++now_ms_) {
      CompleteWrites();
      StartWrites();
    }
  }

  std::int64_t Now() const { return now_ms_; }
  std::size_t Calls() const { return calls_; }
  std::size_t MostInFlight() const { return most_in_flight_; }
  // When the job was last stored.
  std::int64_t StoredAt(const std::string& job) const {
    const auto found = stored_at_.find(job);
    return found == stored_at_.end() ? -1 : found->second;
  }

 private:
  void CompleteWrites() {
    const auto due = in_flight_.find(now_ms_);
    if (due == in_flight_.end()) return;
    const std::vector<write_batch> batches = std::move(due->second);
    in_flight_.erase(due);
    for (const write_batch& batch : batches) {
      --count_;
      pacer_.Finished(store_responds, At(now_ms_).now);
      fleet::fleet_journal& journal = fixture_.Core().Journal();
      if (!store_responds) {
        journal.Unanswered(batch.number);
        continue;
      }
      const auto result = records_.Apply(token_, batch.records);
      REQUIRE(result.applied);
      journal.Stored(batch.number, result.revision, At(now_ms_));
      for (const auto& record : batch.records) stored_at_[record.id] = now_ms_;
    }
  }

  void StartWrites() {
    fleet::fleet_journal& journal = fixture_.Core().Journal();
    for (;;) {
      const auto start = pacer_.NextStart(journal.Pending(kMaxRecords));
      if (!start || *start > At(now_ms_).now) return;
      write_batch batch = journal.NextBatch(kMaxRecords);
      REQUIRE_FALSE(batch.records.empty());
      pacer_.Started(At(now_ms_).now);
      ++calls_;
      most_in_flight_ = std::max(most_in_flight_, ++count_);
      in_flight_[now_ms_ + kStoreLatencyMs].push_back(std::move(batch));
    }
  }

  fleet_fixture& fixture_;
  write_pacer pacer_;
  fake_record_store records_;
  std::int64_t token_;
  std::int64_t now_ms_ = 0;
  std::map<std::int64_t, std::vector<write_batch>> in_flight_;
  std::map<std::string, std::int64_t> stored_at_;
  std::size_t count_ = 0;
  std::size_t most_in_flight_ = 0;
  std::size_t calls_ = 0;
};

std::string Name(int number) { return "job" + std::to_string(number); }

// Submits `jobs` jobs and runs until all are stored; none has started.
void SubmitStored(fleet_fixture& fixture, paced_store& store, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    fixture.Core().Submit(JobOf(Name(i), 1, 1000), At(store.Now()));
  }
  store.Run(2000);
  for (int i = 0; i < jobs; ++i) REQUIRE(store.StoredAt(Name(i)) >= 0);
}

TEST_CASE("200 changed jobs do not delay the median start beyond its target",
          "[fleet]") {
  fleet_fixture fixture;
  paced_store store(fixture, {});
  SubmitStored(fixture, store, 200);
  fixture.AddExecutor("a", 1'000'000, store.Now());
  fixture.Core().Plan(At(store.Now()));
  const std::int64_t placed = store.Now();
  store.Run(1000);
  int in_time = 0;
  for (int i = 0; i < 200; ++i) {
    const std::int64_t stored = store.StoredAt(Name(i));
    REQUIRE(stored > placed);
    if (stored - placed <= kFirstStartMs) ++in_time;
  }
  CHECK(in_time >= 100);
  CHECK(fixture.Core().TakeOrders(At(store.Now())).starts.size() == 200);
}

TEST_CASE("a cancel does not wait behind 200 placements", "[fleet]") {
  fleet_fixture fixture;
  paced_store store(fixture, {});
  SubmitStored(fixture, store, 201);
  // There is capacity for all but the last job, which is cancelled while
  // queued.
  fixture.AddExecutor("a", 200'000, store.Now());
  fixture.Core().Plan(At(store.Now()));
  store.Run(1);
  const std::int64_t cancelled = store.Now();
  fixture.Core().Cancel(Name(200), At(cancelled));
  // A write in flight may have to end first.
  store.Run(2 * kStoreLatencyMs);
  CHECK(fixture.Core().StoredState(Name(200)) == schema::FLEET_CANCELLED);
}

TEST_CASE(
    "at a low rate changes are batched and written one transaction at a time",
    "[fleet]") {
  fleet_fixture fixture;
  paced_store store(fixture, {});
  constexpr std::int64_t kRunMs = 1000;
  const write_pacer_options options;
  // A new job every 5 ms.
  for (int i = 0; store.Now() < kRunMs; ++i) {
    fixture.Core().Submit(JobOf(Name(i), 1, 1000), At(store.Now()));
    store.Run(5);
  }
  CHECK(store.Calls() <=
        static_cast<std::size_t>(kRunMs / options.batching_delay.count()));
  CHECK(store.MostInFlight() == 1);
}

TEST_CASE("writes stay within the rate limit however large the backlog is",
          "[fleet]") {
  fleet_fixture fixture;
  const write_pacer_options options{.max_per_s = 100.0, .max_burst = 5.0};
  paced_store store(fixture, options);
  for (int i = 0; i < 4000; ++i) {
    fixture.Core().Submit(JobOf(Name(i), 1, 1000), At(0));
  }
  store.Run(1000);
  CHECK(store.Calls() <= 105);
  CHECK(store.MostInFlight() <= options.max_in_flight);
}

TEST_CASE("an unresponsive store gets one write per retry delay", "[fleet]") {
  fleet_fixture fixture;
  const write_pacer_options options;
  paced_store store(fixture, options);
  store.store_responds = false;
  for (int i = 0; i < 200; ++i) {
    fixture.Core().Submit(JobOf(Name(i), 1, 1000), At(0));
  }
  store.Run(20);
  const std::size_t before = store.Calls();
  CHECK(before <= options.max_in_flight);
  store.Run(1000);
  CHECK(store.Calls() - before <=
        static_cast<std::size_t>(1000 / options.retry.count()) + 1);
  store.store_responds = true;
  store.Run(1000);
  for (int i = 0; i < 200; ++i) CHECK(store.StoredAt(Name(i)) >= 0);
}

TEST_CASE("ends are stored although new jobs fill every batch", "[fleet]") {
  fleet_fixture fixture;
  paced_store store(fixture, {});
  fixture.AddExecutor("a", 2000);
  fixture.Core().Submit(JobOf("old", 2, 1000), At(0));
  fixture.Core().Plan(At(0));
  store.Run(100);
  for (const auto& start : fixture.Core().TakeOrders(At(store.Now())).starts) {
    fixture.Core().OnStartResponse(start, fleet::start_outcome::kAccepted,
                                   At(store.Now()));
  }
  int jobs = 0;
  const auto submit_many = [&] {
    for (int i = 0; i < 50; ++i) {
      fixture.Core().Submit(JobOf(Name(jobs++), 1, 1000), At(store.Now()));
    }
    fixture.Core().Plan(At(store.Now()));
  };
  submit_many();
  fixture.Report("a", store.Now(),
                 {{.task = {.job = "old", .index = 1}, .run = 1}},
                 {{.number = 1,
                   .task = {.job = "old", .index = 0},
                   .run = 1,
                   .how = fleet::run_end::kDone}});
  const std::int64_t ended = store.Now();
  while (store.StoredAt("old") < ended && store.Now() < ended + 200) {
    submit_many();
    store.Run(10);
  }
  CHECK(store.StoredAt("old") >= ended);
  CHECK(fixture.Core().FindExecutor("a")->acknowledged == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
