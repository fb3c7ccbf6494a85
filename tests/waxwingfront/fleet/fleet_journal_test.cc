#include "waxwingfront/fleet/fleet_journal.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "support/fake_record_store.h"
#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using fleet::record_kind;
using fleet::record_write;
using fleet::write_batch;

constexpr std::size_t kMaxRecords = 15;

TEST_CASE("a submission is acknowledged only after its record is stored",
          "[fleet]") {
  fleet_fixture fixture;
  fleet::fleet_core& core = fixture.Core();
  core.Submit(JobOf("job", 1, 1000), At(0));
  int notifications = 0;
  bool stored = false;
  core.OnceStored("job", [&](bool outcome) {
    ++notifications;
    stored = outcome;
  });
  CHECK_FALSE(core.StoredState("job").has_value());

  SECTION("the batch takes effect") {
    const write_batch batch = core.Journal().NextBatch(kMaxRecords);
    CHECK(batch.records.size() == 1);
    CHECK(notifications == 0);
    core.Journal().Stored(batch.number, 7, At(10));
    CHECK(notifications == 1);
    CHECK(stored);
    CHECK(core.StoredState("job") == schema::FLEET_QUEUED);
  }
  SECTION("the leader is deposed before") {
    core.Journal().NextBatch(kMaxRecords);
    core.Journal().Abandon();
    CHECK(notifications == 1);
    CHECK_FALSE(stored);
  }
}

TEST_CASE("a batch without a response is retried under the same conditions",
          "[fleet]") {
  fleet_fixture fixture;
  fleet::fleet_journal& journal = fixture.Core().Journal();
  fixture.Core().Submit(JobOf("job", 1, 1000), At(0));
  const write_batch first = journal.NextBatch(kMaxRecords);
  REQUIRE(first.records.size() == 1);
  CHECK(journal.NextBatch(kMaxRecords).records.empty());
  journal.Unanswered(first.number);
  const write_batch second = journal.NextBatch(kMaxRecords);
  REQUIRE(second.records.size() == 1);
  CHECK(second.records[0].expected_revision ==
        first.records[0].expected_revision);

  SECTION("the first took effect after all") {
    const std::vector<fleet::record_revision> actual = {
        {.kind = record_kind::kJob, .id = "job", .revision = 9}};
    journal.Conflicted(second.number, actual);
    // The job's record exists already; only the progress is still to be
    // written.
    const write_batch third = journal.NextBatch(kMaxRecords);
    for (const record_write& write : third.records) {
      CHECK(write.kind == record_kind::kProgress);
    }
    journal.Stored(third.number, 10, At(20));
    CHECK(fixture.Core().StoredState("job").has_value());
  }
}

// True if the batch writes a record of the job.
bool Writes(const write_batch& batch, const std::string& id) {
  return std::ranges::find(batch.records, id, &record_write::id) !=
         batch.records.end();
}

// Guards against new jobs that no batch has room for: calls waiting for them
// would make the leader reject all later jobs as overloaded.
TEST_CASE("a new job that was planned for while its batch failed is urgent",
          "[fleet]") {
  fleet_fixture fixture;
  fleet::fleet_core& core = fixture.Core();
  core.Submit(JobOf("first", 1, 1000), At(0));
  const write_batch failed = core.Journal().NextBatch(kMaxRecords);
  REQUIRE(Writes(failed, "first"));
  core.Plan(At(10));
  core.Journal().Unanswered(failed.number);
  constexpr int kLaterJobs = 40;
  for (int i = 0; i < kLaterJobs; ++i) {
    core.Submit(JobOf("later" + std::to_string(i), 1, 1000), At(20));
  }
  core.Plan(At(30));
  CHECK(Writes(core.Journal().NextBatch(kMaxRecords), "first"));
}

// Guards against new jobs that the leader rejects as overloaded, because a call
// that repeats a submission waits behind the ends of many other jobs.
TEST_CASE("changes that a repeated submission waits for are urgent",
          "[fleet]") {
  constexpr std::int64_t kJobs = 40;
  constexpr std::uint32_t kTasks = 2;
  fleet_fixture fixture;
  fleet::fleet_core& core = fixture.Core();
  fixture.AddExecutor("a", kJobs * kTasks * 1000);
  for (std::int64_t i = 0; i < kJobs; ++i) {
    core.Submit(JobOf("job" + std::to_string(i), kTasks, 1000), At(0));
  }
  const fleet::orders decided = fixture.StepAccepted(10);
  REQUIRE(decided.starts.size() == std::size_t{kJobs * kTasks});
  std::vector<fleet::running_report> running;
  std::vector<fleet::ended_report> ended;
  for (const fleet::start_order& start : decided.starts) {
    if (start.task.index > 0) {
      running.push_back({.task = start.task, .run = start.run});
      continue;
    }
    ended.push_back({.number = ended.size() + 1,
                     .task = start.task,
                     .run = start.run,
                     .how = fleet::run_end::kDone});
  }
  fixture.Report("a", 20, running, ended);
  // The job whose end is stored last.
  const std::string id = ended.back().task.job;
  REQUIRE(core.Submit(JobOf(id, kTasks, 1000), At(30)) ==
          fleet::submission::kDuplicate);
  bool stored = false;
  core.OnceStored(id, [&stored](bool outcome) { stored = outcome; });
  CHECK(core.Journal().Pending(kMaxRecords).urgent);
  const write_batch next = core.Journal().NextBatch(kMaxRecords);
  CHECK(Writes(next, id));
  core.Journal().Stored(next.number, 100, At(40));
  CHECK(stored);
}

TEST_CASE("a batch never exceeds the record limit of a transaction",
          "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", 100'000);
  for (int i = 0; i < 40; ++i) {
    fixture.Core().Submit(JobOf("job" + std::to_string(i), 1, 1000), At(0));
  }
  fixture.Core().Plan(At(10));
  std::size_t jobs = 0;
  fleet::fleet_journal& journal = fixture.Core().Journal();
  for (;;) {
    const write_batch batch = journal.NextBatch(kMaxRecords);
    if (batch.records.empty()) break;
    CHECK(batch.records.size() <= kMaxRecords);
    for (const record_write& write : batch.records) {
      if (write.kind == record_kind::kJob) ++jobs;
    }
    journal.Stored(batch.number, 5, At(20));
  }
  CHECK(jobs == 40);
}

TEST_CASE("a job is never in two batches at once", "[fleet]") {
  fleet_fixture fixture;
  fleet::fleet_core& core = fixture.Core();
  fleet::fleet_journal& journal = core.Journal();
  core.Submit(JobOf("first", 1, 1000), At(0));
  const write_batch first = journal.NextBatch(kMaxRecords);
  core.Submit(JobOf("second", 1, 1000), At(0));
  core.Cancel("first", At(1));
  const write_batch second = journal.NextBatch(kMaxRecords);
  REQUIRE(second.records.size() == 1);
  CHECK(second.records[0].id == "second");
  CHECK(journal.NextBatch(kMaxRecords).records.empty());

  // Responses may arrive in any order.
  journal.Stored(second.number, 8, At(5));
  CHECK_FALSE(core.StoredState("first").has_value());
  journal.Stored(first.number, 9, At(6));
  CHECK(core.StoredState("first") == schema::FLEET_QUEUED);
  const write_batch third = journal.NextBatch(kMaxRecords);
  REQUIRE(third.records.size() == 1);
  CHECK(third.records[0].kind == record_kind::kProgress);
  journal.Stored(third.number, 10, At(7));
  CHECK(core.StoredState("first") == schema::FLEET_CANCELLED);
}

TEST_CASE("a late duplicate of a batch never replaces a newer record",
          "[fleet]") {
  fleet_fixture fixture;
  fleet::fleet_core& core = fixture.Core();
  fleet::fleet_journal& journal = core.Journal();
  fake_record_store records;
  const std::int64_t token = records.Claim();
  for (const char* const id : {"a", "b", "c"}) {
    core.Submit(JobOf(id, 1, 1000), At(0));
    const write_batch batch = journal.NextBatch(kMaxRecords);
    const auto result = records.Apply(token, batch.records);
    journal.Stored(batch.number, result.revision, At(1));
  }
  fixture.AddExecutor("x", 10'000, 5);
  core.Plan(At(10));
  const write_batch late = journal.NextBatch(kMaxRecords);
  REQUIRE(late.records.size() == 3);
  journal.Unanswered(late.number);
  core.Cancel("a", At(20));

  // The jobs of the batch are written again in other batches.
  const write_batch one = journal.NextBatch(1);
  const write_batch two = journal.NextBatch(kMaxRecords);
  REQUIRE(one.records.size() == 1);
  REQUIRE(one.records[0].id == "a");
  REQUIRE(two.records.size() == 2);

  SECTION("it takes effect last") {
    const auto stored = records.Apply(token, one.records);
    REQUIRE(stored.applied);
    journal.Stored(one.number, stored.revision, At(30));
    CHECK_FALSE(records.Apply(token, late.records).applied);
    CHECK(records.Progress("a")->state() == schema::FLEET_CANCELLED);
  }
  SECTION("it takes effect first") {
    REQUIRE(records.Apply(token, late.records).applied);
    for (const write_batch* const batch : {&two, &one}) {
      const auto refused = records.Apply(token, batch->records);
      REQUIRE_FALSE(refused.applied);
      journal.Conflicted(batch->number, refused.actual);
    }
    const write_batch again = journal.NextBatch(kMaxRecords);
    REQUIRE(again.records.size() == 3);
    const auto stored = records.Apply(token, again.records);
    REQUIRE(stored.applied);
    journal.Stored(again.number, stored.revision, At(30));
    CHECK(records.Progress("a")->state() == schema::FLEET_CANCELLED);
    CHECK(core.TakeOrders(At(30)).starts.size() == 2);
  }
  CHECK(records.Violations().empty());
}

TEST_CASE("ends are acknowledged to an executor in order and only once stored",
          "[fleet]") {
  fleet_fixture fixture;
  fleet::fleet_core& core = fixture.Core();
  fixture.AddExecutor("x", 4000);
  core.Submit(JobOf("first", 2, 1000), At(0));
  core.Submit(JobOf("second", 2, 1000), At(0));
  fixture.StepAccepted(1);
  const auto end_of = [](std::uint64_t number, const std::string& job) {
    return fleet::ended_report{.number = number,
                               .task = {.job = job, .index = 0},
                               .run = 1,
                               .how = fleet::run_end::kDone};
  };
  fixture.Report("x", 5, {}, {end_of(1, "first"), end_of(2, "second")});
  fleet::fleet_journal& journal = core.Journal();
  const write_batch first = journal.NextBatch(1);
  const write_batch second = journal.NextBatch(1);
  REQUIRE(first.records.size() == 1);
  REQUIRE(second.records.size() == 1);
  REQUIRE(first.records[0].id == "first");
  // Ends are acknowledged in order only.
  journal.Stored(second.number, 8, At(10));
  CHECK(core.FindExecutor("x")->acknowledged == 0);
  journal.Stored(first.number, 9, At(11));
  CHECK(core.FindExecutor("x")->acknowledged == 2);
}

TEST_CASE("a finished job is removed after its retention period and not before",
          "[fleet]") {
  fleet_fixture fixture;
  fleet::fleet_core& core = fixture.Core();
  core.Submit(JobOf("job", 1, 1000), At(0));
  core.Cancel("job", At(10));
  fixture.Store(20);
  core.Tick(At(100'000));
  CHECK(core.StoredState("job") == schema::FLEET_CANCELLED);
  core.Tick(At(160'000));
  const write_batch removal = core.Journal().NextBatch(kMaxRecords);
  REQUIRE(removal.records.size() == 2);
  CHECK(removal.records[0].remove);
  core.Journal().Stored(removal.number, 9, At(160'010));
  CHECK_FALSE(core.StoredState("job").has_value());
}

TEST_CASE("a job is not removed while a lost write could create it again",
          "[fleet]") {
  fleet_fixture fixture({{}}, {.retention = core::milliseconds(2000)});
  fleet::fleet_core& core = fixture.Core();
  core.Submit(JobOf("job", 1, 1000), At(0));
  const write_batch lost = core.Journal().NextBatch(kMaxRecords);
  REQUIRE(lost.records.size() == 1);
  SECTION("a write had no response") {
    core.Journal().Unanswered(lost.number);
    core.Cancel("job", At(10));
    fixture.Store(20);
    core.Tick(At(10'000));
    CHECK(core.Journal().NextBatch(kMaxRecords).records.empty());
    core.Tick(At(40'000));
    CHECK(core.Journal().NextBatch(kMaxRecords).records.size() == 2);
  }
  SECTION("all had one") {
    core.Journal().Stored(lost.number, 7, At(5));
    core.Cancel("job", At(10));
    fixture.Store(20);
    core.Tick(At(10'000));
    CHECK(core.Journal().NextBatch(kMaxRecords).records.size() == 2);
  }
}

TEST_CASE("a removal whose response was lost is not repeated without records",
          "[fleet]") {
  fleet_fixture fixture;
  fleet::fleet_core& core = fixture.Core();
  core.Submit(JobOf("job", 1, 1000), At(0));
  core.Cancel("job", At(10));
  fixture.Store(20);
  core.Tick(At(160'000));
  const write_batch lost = core.Journal().NextBatch(kMaxRecords);
  core.Journal().Unanswered(lost.number);
  const write_batch again = core.Journal().NextBatch(kMaxRecords);
  REQUIRE(again.records.size() == 2);
  const std::vector<fleet::record_revision> none = {
      {.kind = fleet::record_kind::kJob, .id = "job", .revision = 0},
      {.kind = fleet::record_kind::kProgress, .id = "job", .revision = 0}};
  core.Journal().Conflicted(again.number, none);
  CHECK_FALSE(core.HasJob("job"));
  CHECK(core.Journal().NextBatch(kMaxRecords).records.empty());
}

}  // namespace
}  // namespace waxwingfront::tests
