// The leader's machine is cut off from the store and from the others, and the
// store takes its key away at once. A consumer hands a job in at the new leader
// and cancels it at the cut off process. The rule is broken if a machine in
// touch starts a task of it later than `cancel_ms` after the cancel was
// acknowledged.
#include <cstdint>
#include <string>
#include <vector>

#include "case_tools.h"
#include "gate.h"

namespace waxwingfront::review_2 {
namespace {

constexpr int kJob = 1;
constexpr int kSteps = 7;
constexpr int kCalmMs = 5000;
constexpr int kPollMs = 10;
constexpr int kHandInMs = 1000;
constexpr int kBeforeCancelMs = 500;
constexpr std::int64_t kCutMs = 5500;
constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kCancelMs = 3000;
constexpr int kEndMs = 16'000;

// A chain of steps, 2 s each.
std::string Job() {
  std::string steps;
  for (int i = 0; i < kSteps; ++i) {
    const std::string before = std::to_string(i - 1);
    steps += (i > 0 ? "," : "") +
             std::string(R"({"count":1,"cpu":500,"memory_request_mb":128,)"
                         R"("estimated_ms":2000)") +
             (i > 0 ? ",\"after\":[" + before + "]" : "") + "}";
  }
  return R"({"spec":"ms=2000 cpu=500","steps":[)" + steps + "]}";
}

int Play(const std::string& folder, bool trouble) {
  record log(folder + "/record.txt");
  case_site all(log, {});
  site& processes = all.Processes();
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < processes.Size(); ++i) {
    ports.push_back(processes.InternalPort(i));
  }
  gate& ways = *new gate(all.Platform(), ports);
  for (std::size_t i = 0; i < processes.Size(); ++i) {
    processes.SetWays(i, ways.StoreAddress(i), ways.KnownPort(i));
  }
  if (!all.Start()) return kNotRun;
  SleepMs(kCalmMs);
  const std::size_t first = processes.Leader(all.Platform());
  if (first >= processes.Size()) return kNotRun;
  const std::int64_t cut_ms = log.NowMs();
  std::size_t other = (first + 1) % processes.Size();
  if (trouble) {
    log.Write("process " + std::to_string(first + 1) +
              " is cut off and its key is taken away");
    ways.SetCut(first, true);
    all.Platform().Revoke("wf/leader");
    while (other = processes.Leader(all.Platform()),
           other == first || other >= processes.Size()) {
      if (log.NowMs() > cut_ms + kHandInMs) return kNotRun;
      SleepMs(kPollMs);
    }
  }
  while (all.Submit(other, kJob, Job()).status != 200) {
    if (log.NowMs() > cut_ms + kHandInMs) return kNotRun;
    SleepMs(kPollMs);
  }
  SleepMs(kBeforeCancelMs);
  const int cancelled = all.Cancel(first, kJob).status;
  const std::int64_t acknowledged_ms = log.NowMs();
  if (trouble) {
    SleepMs(cut_ms + kCutMs - log.NowMs());
    ways.SetCut(first, false);
    log.Write("the cut ends");
  }
  SleepMs(kEndMs);
  all.Show(other, kJob);
  if (cancelled != 200 && cancelled != 410) {
    Summarize(log, "the cancel was not acknowledged");
    return kHeld;
  }
  // Well after the cut, so that whoever starts it is in touch.
  const auto last = all.Watch().LastBegunMs(JobId(kJob));
  const bool late = last && *last > acknowledged_ms + kCancelMs &&
                    *last > cut_ms + kCutMs + kContactMs;
  Summarize(log, "POST 200, DELETE " + std::to_string(cancelled) + "; " +
                     (late ? "a task started " +
                                 std::to_string(*last - acknowledged_ms) +
                                 " ms after the cancel was acknowledged"
                           : "no task started late after the cancel"));
  return late ? kBroken : kHeld;
}

}  // namespace
}  // namespace waxwingfront::review_2

int main(int argc, char** argv) {
  namespace review = waxwingfront::review_2;
  review::RunCase(argc, argv, review::Play);
}
