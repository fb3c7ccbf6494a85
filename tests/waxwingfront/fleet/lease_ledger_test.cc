#include "waxwingfront/fleet/lease_ledger.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCores = 8000;

core::monotonic_time Time(std::int64_t ms) { return At(ms).now; }

TEST_CASE("no lease is given before a version is stored", "[fleet]") {
  fleet::lease_ledger ledger;
  ledger.Begin({.silent = {}, .others = Time(7000)}, Time(0));
  CHECK_FALSE(ledger.Limit("a"));
  ledger.Stored();
  CHECK(ledger.Limit("a") == Time(7000));
}

TEST_CASE("a version without a response limits leases as well", "[fleet]") {
  fleet::lease_ledger ledger;
  ledger.Begin({.silent = {}, .others = Time(7000)}, Time(0));
  ledger.Stored();
  ledger.Begin({.silent = {{"a", Time(5000)}}, .others = Time(7500)},
               Time(500));
  CHECK(ledger.Limit("a") == Time(5000));
  CHECK(ledger.Limit("b") == Time(7000));
  SECTION("until a later one is stored") {
    ledger.Begin({.silent = {}, .others = Time(8000)}, Time(1000));
    ledger.Stored();
    CHECK(ledger.Limit("a") == Time(8000));
    CHECK_FALSE(ledger.ListsSilent("a"));
  }
  SECTION("or until it is known not to be stored") {
    ledger.Dropped();
    CHECK(ledger.Limit("a") == Time(7000));
  }
}

TEST_CASE("a record counts from the time at which it was first seen",
          "[fleet]") {
  fleet::lease_ledger ledger;
  const schema::fleet_leases record = ledger.Begin(
      {.silent = {{"a", Time(5000)}}, .others = Time(7500)}, Time(500));
  const fleet::lease_lapses read = fleet::ToLapses(record, Time(520));
  CHECK(read.Of("a") == Time(5020));
  CHECK(read.Of("b") == Time(7520));
}

// Leaders that follow each other. Executor `a`, which runs a long-running task,
// is lost for good at time 0; `b` has capacity for the task.
class leader_sequence {
 public:
  static constexpr std::int64_t kLostMs = 0;
  // The platform considers the task lost if it does not run again by then.
  static constexpr std::int64_t kRepeatBoundMs = kLostMs + 9000;

  leader_sequence() {
    job_ = JobOf("job", 1, 1000);
    job_.mutable_steps(0)->set_long_running(true);
    schema::fleet_task& task = *progress_.add_tasks();
    progress_.set_state(schema::FLEET_RUNNING);
    task.set_run(1);
    task.set_active(true);
    task.set_executor("a");
    TakeOver(-5000, false);
    Report("a", -4990, true);
    Report("b", -4990, false);
    Run(-4980, kLostMs);
  }

  // The leader so far sends nothing more; another one has loaded its jobs.
  void TakeOver(std::int64_t at_ms, bool a_is_lost = true) {
    const std::optional<fleet::lease_lapses> recorded =
        record_ ? std::optional(
                      fleet::ToLapses(*record_, Time(recorded_ms_ + kDelayMs)))
                : std::nullopt;
    leader_.emplace(fleet::fleet_options{});
    leader_->SetManifest(ManifestOf({{}}));
    if (!a_is_lost || at_ms < kDeregisteredMs) Register("a");
    Register("b");
    leader_->Restore(job_, 1, progress_, 1, At(at_ms));
    leader_->FinishRestore(At(at_ms), recorded);
    Record(at_ms);
  }

  // Lets the leader work; returns true once it starts the task again.
  bool Run(std::int64_t from_ms, std::int64_t to_ms) {
    for (std::int64_t ms = from_ms; ms <= to_ms; ms += kTickMs) {
      if (ms >= kDeregisteredMs) leader_->RemoveExecutor("a");
      if (ms <= kLostMs) {
        Report("a", ms, true);
      } else {
        leader_->Runs().OnHoldFailed("a", At(ms));
      }
      Report("b", ms, false);
      leader_->Tick(At(ms));
      if (leader_->LeaseRecordOutdated(Time(ms)) ||
          ms - recorded_ms_ >= kRecordMs) {
        Record(ms);
      }
      leader_->Plan(At(ms));
      const fleet::write_batch batch = leader_->Journal().NextBatch(15);
      leader_->Journal().Stored(batch.number, ++revision_, At(ms));
      if (!leader_->TakeOrders(At(ms)).starts.empty()) return true;
    }
    return false;
  }

  // Returns the end of the last lease that `a` got.
  std::int64_t LeaseEndMs() const { return lease_end_ms_; }

 private:
  static constexpr std::int64_t kTickMs = 100;
  static constexpr std::int64_t kRecordMs = 500;
  // The executors' clocks at time 0.
  static constexpr std::int64_t kClockMs = 100'000;
  // Time from the writing of a record until other processes see it.
  static constexpr std::int64_t kDelayMs = 20;
  static constexpr std::int64_t kDeregisteredMs = 4500;

  void Register(const std::string& id) {
    leader_->SetExecutor({.id = id,
                          .address = id,
                          .service = "s",
                          .capacity = {.processor_milli = kCores}});
  }

  void Report(std::string_view id, std::int64_t at_ms, bool runs_task) {
    fleet::hold_report report{.born_ms = 1, .clock_ms = kClockMs + at_ms};
    if (runs_task) {
      report.running.push_back({.task = {.job = "job"}, .run = 1});
    }
    leader_->OnHold(id, report, Time(at_ms), At(at_ms));
    const auto deadline =
        leader_->Deadlines().ForHold(*leader_->FindExecutor(id), Time(at_ms));
    if (runs_task && deadline) {
      lease_end_ms_ = std::max(lease_end_ms_, *deadline - kClockMs);
    }
  }

  void Record(std::int64_t at_ms) {
    record_ = leader_->NextLeaseRecord(Time(at_ms));
    recorded_ms_ = at_ms;
    leader_->Leases().Stored();
  }

  schema::fleet_job job_;
  schema::fleet_progress progress_;
  std::optional<fleet::fleet_core> leader_;
  std::optional<schema::fleet_leases> record_;
  std::int64_t recorded_ms_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::int64_t revision_ = 1;
};

// Guards against long-running tasks that wait for the longest possible lease of
// a lost executor, counted anew from each takeover.
TEST_CASE("a change of leader does not delay the tasks of lost executors",
          "[fleet]") {
  leader_sequence leaders;
  SECTION("the leader ends as the executor is lost") {
    leaders.TakeOver(2000);
    CHECK(leaders.Run(2000, leader_sequence::kRepeatBoundMs));
  }
  SECTION("the leader ends after it has noticed the loss") {
    REQUIRE_FALSE(leaders.Run(100, 3000));
    leaders.TakeOver(4900);
    CHECK(leaders.Run(4900, leader_sequence::kRepeatBoundMs));
  }
  SECTION("several leaders end") {
    for (const std::int64_t at_ms : {2000, 4000, 6000}) {
      leaders.TakeOver(at_ms);
      REQUIRE_FALSE(leaders.Run(at_ms, at_ms + 500));
    }
    leaders.TakeOver(7500);
    CHECK(leaders.Run(7500, leader_sequence::kRepeatBoundMs));
  }
}

TEST_CASE("a new leader waits for the leases that its predecessor gave",
          "[fleet]") {
  leader_sequence leaders;
  leaders.TakeOver(2000);
  CHECK_FALSE(leaders.Run(2000, leaders.LeaseEndMs()));
}

TEST_CASE("a lease is extended only within the stored bounds", "[fleet]") {
  fleet_fixture scene;
  scene.AddExecutor("a", kCores);
  fleet::executor_state& executor = *scene.Core().FindExecutor("a");
  const auto deadline = [&](std::int64_t at_ms) {
    scene.Core().OnHold("a", {.born_ms = 1, .clock_ms = at_ms}, Time(at_ms),
                        At(at_ms));
    return scene.Core().Deadlines().ForHold(executor, Time(at_ms));
  };
  const std::int64_t whole = deadline(0).value();
  // The store has been away since: another leader counts from the last record.
  // On the slowest clock the lease still ends with the recorded one.
  const auto extended = deadline(3000);
  REQUIRE(extended);
  CHECK(static_cast<double>(*extended - 3000) / fleet::kMinClockRate + 3000 <=
        static_cast<double>(whole) / fleet::kMinClockRate + 1);
  CHECK_FALSE(deadline(8000));
  scene.RecordLeases(8000);
  CHECK(deadline(8000) > whole + 7000);
}

}  // namespace
}  // namespace waxwingfront::tests
