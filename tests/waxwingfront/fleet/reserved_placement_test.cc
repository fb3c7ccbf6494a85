#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCapacity = 32'000;
constexpr std::int64_t kLastingCpu = 8'000;
constexpr std::int64_t kRoundMs = 100;

// Long-running tasks that ran under an earlier leader and have lost their
// executors. Each round of planning has time for one job.
class restarting_leader {
 public:
  restarting_leader(int executors, int interrupted)
      : fixture_({{.name = "urgent", .priority = 0},
                  {.name = "later", .priority = 2}}) {
    for (int i = 0; i < interrupted; ++i) AddInterrupted(i);
    for (int i = 0; i < executors; ++i) {
      fixture_.AddExecutor("e" + std::to_string(i), kCapacity);
    }
  }

  fleet::fleet_core& Core() { return fixture_.Core(); }

  // Plays a round. Returns the jobs of the starts that were ordered.
  std::multiset<std::string> PlayRound() {
    now_ms_ += kRoundMs;
    fixture_.RecordLeases(now_ms_);
    Core().Plan(At(now_ms_), [] { return true; });
    fixture_.Store(now_ms_);
    std::multiset<std::string> jobs;
    for (const auto& start : Core().TakeOrders(At(now_ms_)).starts) {
      Core().OnStartResponse(start, fleet::start_outcome::kAccepted,
                             At(now_ms_));
      jobs.insert(start.task.job);
    }
    return jobs;
  }

  // Submits jobs whose tasks exceed every executor.
  void SubmitUnplaceable(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "new" + std::to_string(++submitted_);
      Core().Submit(JobOf(id, 1, 2 * kCapacity, "urgent"), At(now_ms_));
    }
  }

 private:
  void AddInterrupted(int number) {
    schema::fleet_job job =
        JobOf("lasting" + std::to_string(number), 1, kLastingCpu, "later");
    job.mutable_steps(0)->set_long_running(true);
    schema::fleet_progress progress;
    progress.add_tasks()->set_run(1);
    Core().Restore(job, 1, progress, 1, At(0));
  }

  fleet_fixture fixture_;
  std::int64_t now_ms_ = 0;
  int submitted_ = 0;
};

TEST_CASE("interrupted tasks with reserved capacity do not wait for visits",
          "[fleet][overload]") {
  constexpr int kInterrupted = 40;
  constexpr int kMaxRounds = 3;
  restarting_leader leader(kInterrupted, kInterrupted);
  leader.SubmitUnplaceable(100);
  std::size_t restarted = 0;
  for (int round = 0; round < kMaxRounds; ++round) {
    leader.SubmitUnplaceable(2);
    restarted += leader.PlayRound().size();
  }
  CHECK(restarted == kInterrupted);
}

TEST_CASE("interrupted tasks with reserved capacity do not starve new jobs",
          "[fleet][overload]") {
  constexpr int kInterrupted = 200;
  restarting_leader leader(kInterrupted, kInterrupted);
  leader.Core().Submit(JobOf("urgent job", 1, 1000, "urgent"), At(0));
  // The first round begins with interrupted tasks without a reservation.
  const bool first = leader.PlayRound().contains("urgent job");
  CHECK((first || leader.PlayRound().contains("urgent job")));
}

TEST_CASE("reserved capacity is used by one task each", "[fleet]") {
  constexpr int kExecutors = 5;
  constexpr int kInterrupted = 30;
  constexpr std::size_t kRoom = kExecutors * (kCapacity / kLastingCpu);
  restarting_leader leader(kExecutors, kInterrupted);
  std::multiset<std::string> restarted;
  for (int round = 0; round < 20; ++round) {
    restarted.merge(leader.PlayRound());
  }
  CHECK(restarted.size() == kRoom);
  CHECK(std::set<std::string>(restarted.begin(), restarted.end()).size() ==
        kRoom);
}

}  // namespace
}  // namespace waxwingfront::tests
