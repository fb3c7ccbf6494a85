// A process freezes while a consumer hands a job in there. The consumer gives
// up and cancels the job at another process. The rule is broken if a task of it
// starts later than `cancel_ms` after the cancel was acknowledged.
#include <cstdint>
#include <string>
#include <thread>

#include "case_tools.h"

namespace waxwingfront::review_2 {
namespace {

constexpr int kJob = 1;
constexpr int kCalmMs = 4000;
constexpr int kFreezeMs = 4000;
constexpr int kBeforeCallMs = 50;
// The consumer leaves before its time budget of 3 s.
constexpr int kPatienceMs = 500;
constexpr std::int64_t kCancelMs = 3000;
constexpr int kEndMs = 12'000;

std::string Job() {
  return R"({"spec":"ms=2000 cpu=500","steps":[{"count":2,"cpu":500,)"
         R"("memory_request_mb":128,"estimated_ms":2000},{"count":2,"cpu":500,)"
         R"("memory_request_mb":128,"estimated_ms":2000,"after":[0]}]})";
}

int Play(const std::string& folder, bool trouble) {
  record log(folder + "/record.txt");
  case_site all(log, {});
  if (!all.Start()) return kNotRun;
  SleepMs(kCalmMs);
  site& processes = all.Processes();
  const std::size_t leader = processes.Leader(all.Platform());
  if (leader >= processes.Size()) return kNotRun;
  const std::size_t frozen = (leader + 1) % processes.Size();
  const std::size_t other = (leader + 2) % processes.Size();
  std::thread fault;
  if (trouble) {
    processes.Freeze(frozen);
    fault = std::thread([&] {
      SleepMs(kFreezeMs);
      processes.Thaw(frozen);
    });
  }
  SleepMs(kBeforeCallMs);
  const int handed_in = all.Submit(frozen, kJob, Job(), kPatienceMs).status;
  const int cancelled = all.Cancel(other, kJob).status;
  const std::int64_t acknowledged_ms = log.NowMs();
  if (cancelled != 200 && cancelled != 410) return kNotRun;
  SleepMs(kEndMs);
  if (fault.joinable()) fault.join();
  all.Show(other, kJob);
  const auto last = all.Watch().LastBegunMs(JobId(kJob));
  const bool late = last && *last > acknowledged_ms + kCancelMs;
  Summarize(log, "POST " + std::to_string(handed_in) + ", DELETE " +
                     std::to_string(cancelled) + "; " +
                     (late ? "a task started " +
                                 std::to_string(*last - acknowledged_ms) +
                                 " ms after the cancel was acknowledged"
                           : "no task started over 3 s after the cancel"));
  return late ? kBroken : kHeld;
}

}  // namespace
}  // namespace waxwingfront::review_2

int main(int argc, char** argv) {
  namespace review = waxwingfront::review_2;
  if (argc != 2) return review::kNotRun;
  review::EndCase(review::Play(argv[1], review::TroubleWanted()));
}
