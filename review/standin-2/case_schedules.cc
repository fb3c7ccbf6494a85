// Jobs that repeat for days are handed in at once, beside ordinary jobs. The
// rules are broken if two processes or more end by themselves three times, for
// want of memory, or if an accepted job gets no answer in the end.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "case_tools.h"

namespace waxwingfront::review_2 {
namespace {

// The site's largest: 4 steps of 36 tasks.
constexpr int kSteps = 4;
constexpr int kWidth = 36;
// Each hour, for ten days; without trouble as often as in the site file.
constexpr int kManyTimes = 250;
constexpr int kFewTimes = 6;
constexpr std::int64_t kHourMs = 3'600'000;
constexpr int kScheduledJobs = 40;
constexpr std::int64_t kScheduledPauseMs = 100;
constexpr int kFirstScheduled = 1000;

constexpr int kOrdinaryJobs = 40;
constexpr int kOrdinaryPauseMs = 500;
constexpr int kFinishMs = 14'000;
constexpr int kWatchMs = 50;
// Consumers ask for all accepted jobs this often.
constexpr int kRounds = 4;
constexpr int kRoundPauseMs = 500;
constexpr int kMaxOwnEnds = 3;
constexpr int kMaxEndingProcesses = 2;

std::string ScheduledJob(int times, std::int64_t first_ms) {
  std::string steps;
  for (int i = 0; i < kSteps; ++i) {
    steps += (i > 0 ? "," : "") + (R"({"count":)" + std::to_string(kWidth)) +
             R"(,"cpu":500,"memory_request_mb":128,"estimated_ms":200)" +
             (i > 0 ? ",\"after\":[" + std::to_string(i - 1) + "]" : "") + "}";
  }
  return R"({"spec":"ms=200 cpu=500","steps":[)" + steps +
         R"(],"repetitions":)" + std::to_string(times) + R"(,"first_run_ms":)" +
         std::to_string(first_ms) + R"(,"interval_ms":)" +
         std::to_string(kHourMs) + "}";
}

std::string OrdinaryJob() {
  return R"({"spec":"ms=300 cpu=500","steps":[{"count":4,"cpu":500,)"
         R"("memory_request_mb":128,"estimated_ms":300}]})";
}

// As a consumer does, at each process in turn.
bool IsKnown(case_site& all, int job) {
  const std::size_t count = all.Processes().Size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t node = (static_cast<std::size_t>(job) + i) % count;
    if (all.Show(node, job).status == 200) return true;
  }
  return false;
}

std::size_t CountUnknown(case_site& all, const std::vector<int>& jobs) {
  std::mutex mutex;
  std::size_t unknown = 0;
  std::vector<std::thread> consumers;
  consumers.reserve(jobs.size());
  for (const int job : jobs) {
    consumers.emplace_back([&, job] {
      if (IsKnown(all, job)) return;
      const std::scoped_lock lock(mutex);
      ++unknown;
    });
  }
  for (std::thread& one : consumers) one.join();
  return unknown;
}

int Play(const std::string& folder, bool trouble) {
  record log(folder + "/record.txt");
  case_site all(log, {});
  if (!all.Start()) return kNotRun;
  std::mutex mutex;
  bool over = false;
  std::thread platform([&] {
    while (true) {
      SleepMs(kWatchMs);
      const std::scoped_lock lock(mutex);
      if (over) return;
      all.Processes().Watch();
    }
  });
  std::vector<std::thread> consumers;
  consumers.reserve(kScheduledJobs + kOrdinaryJobs);
  const std::int64_t first_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count() +
      kHourMs;
  std::mutex accepted_mutex;
  std::vector<int> accepted;
  std::vector<int> scheduled;
  for (int i = 0; i < kScheduledJobs; ++i) {
    consumers.emplace_back([&, i] {
      SleepMs(kScheduledPauseMs * i);
      const int job = kFirstScheduled + i;
      const int times = trouble ? kManyTimes : kFewTimes;
      if (all.HandIn(job, ScheduledJob(times, first_ms)) != 200) return;
      const std::scoped_lock lock(accepted_mutex);
      scheduled.push_back(job);
    });
  }
  for (int i = 0; i < kOrdinaryJobs; ++i) {
    consumers.emplace_back([&, i] {
      if (all.HandIn(i, OrdinaryJob()) != 200) return;
      const std::scoped_lock lock(accepted_mutex);
      accepted.push_back(i);
    });
    SleepMs(kOrdinaryPauseMs);
  }
  for (std::thread& one : consumers) one.join();
  SleepMs(kFinishMs);
  std::vector<int> asked = accepted;
  asked.insert(asked.end(), scheduled.begin(), scheduled.end());
  std::size_t unknown = 0;
  for (int round = 0; round < kRounds; ++round) {
    unknown = std::max(unknown, CountUnknown(all, asked));
    SleepMs(kRoundPauseMs);
  }
  {
    const std::scoped_lock lock(mutex);
    over = true;
  }
  platform.join();
  const site& processes = all.Processes();
  std::string ends;
  int ending = 0;
  for (const int count : processes.OwnEnds()) {
    ends += (ends.empty() ? "" : ", ") + std::to_string(count);
    if (count >= kMaxOwnEnds) ++ending;
  }
  Summarize(log, "ends of each process by itself: " + ends +
                     "; highest memory " +
                     std::to_string(processes.HighestMemoryMb()) +
                     " MB; accepted: " + std::to_string(scheduled.size()) +
                     " of " + std::to_string(kScheduledJobs) +
                     " jobs that repeat, " + std::to_string(accepted.size()) +
                     " of " + std::to_string(kOrdinaryJobs) +
                     " ordinary jobs; " + std::to_string(unknown) +
                     " of these got no answer at the end of the case");
  return ending >= kMaxEndingProcesses || unknown > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace waxwingfront::review_2

int main(int argc, char** argv) {
  namespace review = waxwingfront::review_2;
  review::RunCase(argc, argv, review::Play);
}
