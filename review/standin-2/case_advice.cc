// Many jobs come at once to a queue whose policy needs advice. The rule is
// broken if, 14 s after the last of them, an accepted job has nothing running
// for 3 s although most of the capacity is free. The adviser could have decided
// on all steps by then.
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "adviser.h"
#include "case_tools.h"

namespace waxwingfront::review_2 {
namespace {

constexpr int kExecutors = 48;
constexpr int kJobs = 40;
constexpr int kTasks = 4;
constexpr std::int64_t kTaskCpu = 500;
// Capacity for a job twice over.
constexpr std::int64_t kRoom = 8;
// 16 jobs a second, as in a burst of the site; without trouble the same jobs
// come at 2 a second.
constexpr int kBurstPauseMs = 60;
constexpr int kCalmPauseMs = 500;
constexpr int kCalmMs = 2000;
constexpr int kFinishMs = 14'000;
constexpr int kAskMs = 10'000;
constexpr int kSampleMs = 200;
constexpr std::int64_t kMaxPauseMs = 3000;
constexpr std::int64_t kHalf = 50;
constexpr adviser_options kAdvice{
    .decision_ms = 150, .per_worker_ms = 1, .valid_ms = 3000};

int Play(const std::string& folder, bool trouble) {
  record log(folder + "/record.txt");
  adviser& policy = *new adviser(
      kAdvice, [&log](const std::string& line) { log.Write(line); });
  case_site all(
      log, {.processes = 2,
            .executors = kExecutors,
            .queue_fields =
                R"(,"advice":{"decision_ms":)" +
                std::to_string(kAdvice.decision_ms) + R"(,"per_worker_ms":)" +
                std::to_string(kAdvice.per_worker_ms) + R"(,"valid_ms":)" +
                std::to_string(kAdvice.valid_ms) + "}",
            .adviser_address = policy.Address(),
            .needs_ticket = true});
  if (!all.Start()) return kNotRun;
  SleepMs(kCalmMs);
  std::vector<std::thread> consumers;
  std::mutex mutex;
  std::vector<int> accepted;
  for (int i = 0; i < kJobs; ++i) {
    consumers.emplace_back([&, i] {
      const std::string body =
          R"({"spec":"ms=300 cpu=500","steps":[{"count":)" +
          std::to_string(kTasks) +
          R"(,"cpu":500,"memory_request_mb":128,"estimated_ms":300}]})";
      if (all.HandIn(i, body) != 200) return;
      const std::scoped_lock lock(mutex);
      accepted.push_back(i);
    });
    SleepMs(trouble ? kBurstPauseMs : kCalmPauseMs);
  }
  for (std::thread& one : consumers) one.join();
  SleepMs(kFinishMs);
  const std::int64_t from_ms = log.NowMs();
  bool has_room = true;
  while (log.NowMs() < from_ms + kAskMs) {
    has_room &= all.PercentInUse() < kHalf && all.RoomFor(kTaskCpu) >= kRoom;
    SleepMs(kSampleMs);
  }
  int still = 0;
  int unfinished = 0;
  for (const int job : accepted) {
    const std::string state = all.Show(0, job).body;
    if (state.find("completed") == std::string::npos) ++unfinished;
    if (all.Watch().LongestPauseMs(JobId(job), kTasks, from_ms) > kMaxPauseMs) {
      ++still;
    }
  }
  Summarize(log,
            std::to_string(accepted.size()) + " jobs accepted; " +
                std::to_string(still) +
                " stood still for over 3 s from 14 s after the last, " +
                std::to_string(unfinished) +
                " are not completed 24 s after it; the adviser answered each "
                "call within " +
                std::to_string(policy.LongestMs()) + " ms" +
                (has_room ? "" : "; there was no room"));
  return still > 0 && has_room ? kBroken : kHeld;
}

}  // namespace
}  // namespace waxwingfront::review_2

int main(int argc, char** argv) {
  namespace review = waxwingfront::review_2;
  review::RunCase(argc, argv, review::Play);
}
