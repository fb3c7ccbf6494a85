#include "waxwingfront/fleet/capacity_reserve.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCapacity = 32'000;
constexpr std::int64_t kMemoryMib = 1'000'000;
constexpr std::int64_t kLastingCpu = 6'400;
constexpr std::int64_t kShortCpu = 2'500;
// When the lost executors end.
constexpr std::int64_t kLostAtMs = 0;
// The platform counts a long-running task as lost if it has not run again 9 s
// after its last run.
constexpr std::int64_t kMaxStandstillMs = 9'000;

struct busy_service_options {
  int executors = 14;
  int lost = 3;
  // When each lost executor's entry goes, one after the other; 0 for never.
  std::int64_t removed_at_ms = 3'500;
  std::int64_t removal_gap_ms = 0;
  // When the lost executors respond again, with all their tasks; 0 for never.
  std::int64_t back_at_ms = 0;
  // New long-running jobs are submitted this often; 0 for never.
  std::int64_t lasting_gap_ms = 0;
  // The executors were held by this leader, not by an earlier one.
  bool same_leader = false;
  std::int64_t length_ms = 10'000;
};

// A service that is full: long-running tasks leave two fifths of each executor,
// and more short tasks wait than the rest can take. Some executors are lost.
class busy_service {
 public:
  explicit busy_service(busy_service_options options) : options_(options) {
    RestoreLasting();
    for (std::int64_t now = kStepMs; now <= options_.length_ms;
         now += kStepMs) {
      Play(now);
    }
  }

  // Returns when the last interrupted task started again; the length of the
  // play if one never did.
  std::int64_t LastRestart() const {
    std::int64_t last = 0;
    for (int i = 0; i < options_.lost; ++i) {
      for (int k = 0; k < kLastingPerExecutor; ++k) {
        const auto found = restarts_.find(LastingJob(i, k));
        last = std::max(last, found == restarts_.end() ? options_.length_ms
                                                       : found->second);
      }
    }
    return last;
  }
  std::size_t Restarts() const { return restarts_.size(); }

  // Returns the processor thousandths that were idle on the executors in
  // contact after the planning round at `at_ms`, beyond the gap on each that is
  // too small for a short task.
  std::int64_t IdleAt(std::int64_t at_ms) const { return idle_.at(at_ms); }
  std::int64_t HighestIdle(std::int64_t from_ms, std::int64_t to_ms) const {
    std::int64_t highest = 0;
    for (const auto& [at, idle] : idle_) {
      if (at >= from_ms && at <= to_ms) highest = std::max(highest, idle);
    }
    return highest;
  }
  std::int64_t LostCpu() const {
    return kLastingCpu * kLastingPerExecutor * options_.lost;
  }

  static constexpr std::int64_t kStepMs = 20;

 private:
  static constexpr int kLastingPerExecutor = 3;
  static constexpr std::int64_t kReportMs = 100;
  static constexpr std::uint32_t kShortTasks = 10;
  static constexpr std::int64_t kBacklog = 60;
  static constexpr std::int64_t kLeaseMs = 7'143;

  struct run {
    fleet::start_order order;
    std::int64_t ends_at = 0;
  };

  static std::string Executor(int index) { return "e" + std::to_string(index); }
  static std::string LastingJob(int executor, int index) {
    return "lasting-" + std::to_string(executor) + "-" + std::to_string(index);
  }
  static schema::fleet_job Lasting(const std::string& id) {
    schema::fleet_job job = JobOf(id, 1, kLastingCpu);
    job.mutable_steps(0)->set_long_running(true);
    job.mutable_steps(0)->set_image("image");
    return job;
  }
  bool IsLost(int index, std::int64_t now) const {
    const bool back = options_.back_at_ms > 0 && now >= options_.back_at_ms;
    return index < options_.lost && now > kLostAtMs && !back;
  }

  void RestoreLasting() {
    for (int i = 0; i < options_.executors; ++i) {
      for (int k = 0; k < kLastingPerExecutor; ++k) {
        const schema::fleet_job job = Lasting(LastingJob(i, k));
        schema::fleet_progress progress;
        progress.set_state(schema::FLEET_RUNNING);
        schema::fleet_task& task = *progress.add_tasks();
        task.set_run(1);
        task.set_active(true);
        task.set_executor(Executor(i));
        fixture_.Core().Restore(job, 1, progress, 1, At(0));
        running_[Executor(i)].push_back(
            {.order = {.task = {.job = job.id()}, .run = 1},
             .ends_at = options_.length_ms + 1});
      }
    }
    fixture_.Core().FinishRestore(
        At(0), fleet::lease_lapses{.silent = {}, .others = At(kLeaseMs).now});
    for (int i = 0; i < options_.executors; ++i) {
      Register(i);
      if (i >= options_.lost || options_.same_leader) Report(i, 0);
    }
  }

  void Register(int index) {
    fixture_.Core().SetExecutor(
        {.id = Executor(index),
         .born_ms = 1,
         .address = Executor(index),
         .service = "s",
         .capacity = {.processor_milli = kCapacity, .memory_mib = kMemoryMib}});
  }

  void Play(std::int64_t now) {
    Submit(now);
    for (int i = 0; i < options_.executors; ++i) {
      if (IsLost(i, now)) {
        Lose(i, now);
        continue;
      }
      EndShortTasks(i, now);
      const bool just_back = i < options_.lost && now == options_.back_at_ms;
      if (just_back) Register(i);
      if (now % kReportMs == 0 || just_back) Report(i, now);
    }
    fixture_.Core().Tick(At(now));
    for (const fleet::start_order& start : fixture_.StepAccepted(now).starts) {
      const bool lasting = start.task.job.starts_with("lasting");
      if (lasting && start.run > 1) restarts_[start.task.job] = now;
      if (!lasting) ++short_started_;
      // Durations differ, so that gaps open one by one.
      const std::int64_t work_ms = 800 + 37 * short_started_ % 900;
      running_[start.executor].push_back(
          {.order = start,
           .ends_at = lasting ? options_.length_ms + 1 : now + work_ms});
    }
    MeasureIdle(now);
  }

  void Submit(std::int64_t now) {
    while (short_submitted_ - short_started_ < kBacklog) {
      const std::string id = "short-" + std::to_string(short_submitted_);
      fixture_.Core().Submit(JobOf(id, kShortTasks, kShortCpu), At(now));
      short_submitted_ += kShortTasks;
    }
    if (options_.lasting_gap_ms > 0 && now % options_.lasting_gap_ms == 0) {
      fixture_.Core().Submit(Lasting("lasting-new-" + std::to_string(now)),
                             At(now));
    }
  }

  void Lose(int index, std::int64_t now) {
    if (now % kReportMs == 0) {
      fixture_.Core().Runs().OnHoldFailed(Executor(index), At(now));
    }
    const std::int64_t removal =
        options_.removed_at_ms + index * options_.removal_gap_ms;
    if (options_.removed_at_ms > 0 && now == removal) {
      fixture_.Core().RemoveExecutor(Executor(index));
    }
  }

  void EndShortTasks(int index, std::int64_t now) {
    const std::string id = Executor(index);
    std::erase_if(running_[id], [&](const run& one) {
      if (now < one.ends_at) return false;
      ended_[id].push_back({.number = ++end_numbers_[id],
                            .task = one.order.task,
                            .run = one.order.run,
                            .how = fleet::run_end::kDone});
      return true;
    });
  }

  void Report(int index, std::int64_t now) {
    const std::string id = Executor(index);
    std::vector<fleet::running_report> rows;
    for (const run& one : running_[id]) {
      rows.push_back(
          {.task = one.order.task, .run = one.order.run, .percent = 100});
    }
    fixture_.Report(id, now, std::move(rows), std::exchange(ended_[id], {}));
    // The next hold extends the lease.
    fixture_.Core().Deadlines().ForHold(*fixture_.Core().FindExecutor(id),
                                        At(now).now);
  }

  void MeasureIdle(std::int64_t now) {
    std::int64_t idle = 0;
    for (const auto& [id, executor] : fixture_.Core().Executors()) {
      REQUIRE(executor.Free().IsNonNegative());
      if (!executor.in_contact) continue;
      constexpr std::int64_t kLargestGap = kShortCpu - 1;
      idle += std::max<std::int64_t>(
          0, executor.Free().processor_milli - kLargestGap);
    }
    idle_[now] = idle;
  }

  busy_service_options options_;
  fleet_fixture fixture_;
  std::map<std::string, std::vector<run>> running_;
  std::map<std::string, std::vector<fleet::ended_report>> ended_;
  std::map<std::string, std::uint64_t> end_numbers_;
  std::map<std::string, std::int64_t> restarts_;
  std::map<std::int64_t, std::int64_t> idle_;
  std::int64_t short_submitted_ = 0;
  std::int64_t short_started_ = 0;
};

// Guards against long-running tasks of lost executors that find no room for
// seconds after their leases have lapsed, because short tasks take each gap.
TEST_CASE("a full service has room in time for the tasks of lost executors",
          "[fleet][reserve]") {
  busy_service_options options;
  SECTION("lost beside a change of leader") {}
  SECTION("lost under one leader") { options.same_leader = true; }
  SECTION("lost one after another") { options.removal_gap_ms = 1'500; }
  SECTION("many of few executors") {
    options.executors = 7;
    options.lost = 2;
  }
  SECTION("while new long-running jobs arrive") {
    // More than there is room for beside the lost ones.
    options.lasting_gap_ms = 500;
  }
  const busy_service play(options);
  CHECK(play.LastRestart() - kLostAtMs <= kMaxStandstillMs);
}

// Guards against capacity that is kept from short tasks long before the lost
// tasks can use it, or more of it than they need.
TEST_CASE("short tasks give up only what the lost tasks need",
          "[fleet][reserve]") {
  // After the first short tasks have spread over the executors.
  constexpr std::int64_t kSettledMs = 200;
  // Two seconds before the leases lapse; short tasks run for up to 1.7 s.
  constexpr std::int64_t kNotNeededYetMs = 5'000;
  constexpr std::int64_t kRestartedMs = 9'000;
  const busy_service play({});
  CHECK(play.HighestIdle(kSettledMs, kNotNeededYetMs) == 0);
  CHECK(play.HighestIdle(kNotNeededYetMs, kRestartedMs) <= play.LostCpu());
  CHECK(play.HighestIdle(kRestartedMs, 10'000) == 0);
}

// Guards against capacity that stays reserved for tasks that have not been
// lost.
TEST_CASE("capacity is given back at once when lost executors come back",
          "[fleet][reserve]") {
  constexpr std::int64_t kBackMs = 6'940;
  const busy_service play({.back_at_ms = kBackMs});
  CHECK(play.Restarts() == 0);
  CHECK(play.IdleAt(kBackMs - busy_service::kStepMs) > 0);
  CHECK(play.IdleAt(kBackMs) == 0);
}

// Guards against reservations for executors that are merely out of contact:
// their tasks may still be at work.
TEST_CASE("nothing is reserved while lost executors are registered",
          "[fleet][reserve]") {
  const busy_service play({.removed_at_ms = 0});
  CHECK(play.Restarts() == 0);
  CHECK(play.HighestIdle(200, 10'000) == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
