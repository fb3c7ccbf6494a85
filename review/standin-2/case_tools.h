// What the cases share: a small site with its stand-ins, consumers' calls, and
// a check for accepted jobs that stand still.
#ifndef WAXWINGFRONT_REVIEW_STANDIN_2_CASE_TOOLS_H_
#define WAXWINGFRONT_REVIEW_STANDIN_2_CASE_TOOLS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "executor.h"
#include "http.h"
#include "site.h"
#include "store.h"

namespace waxwingfront::review_2 {

// Outcomes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// Follows the runs of jobs as executors report them. Thread-safe.
class job_watch {
 public:
  explicit job_watch(record& log) : log_(log) {}

  void OnEvent(const run_event& event);
  // Number of tasks of the job that have ended `done`.
  std::size_t Done(const std::string& job);
  // Number of runs of the job that have begun.
  std::size_t Begun(const std::string& job);
  // When the job's latest run began; nothing if none has.
  std::optional<std::int64_t> LastBegunMs(const std::string& job);
  // Returns the longest time from `from_ms` until now in which no run of the
  // job was there, until its `tasks` were done.
  std::int64_t LongestPauseMs(const std::string& job, std::size_t tasks,
                              std::int64_t from_ms);

 private:
  struct change {
    std::int64_t at_ms = 0;
    int running = 0;
    std::size_t done = 0;
  };
  struct job_runs {
    std::size_t begun = 0;
    std::int64_t last_begun_ms = 0;
    std::vector<change> changes;
  };

  record& log_;
  std::mutex mutex_;
  std::map<std::string, job_runs> jobs_;
};

struct case_options {
  std::size_t processes = 3;
  int executors = 6;
  // Further fields of the queue, each after a comma.
  std::string queue_fields = {};
  std::string adviser_address = {};
  bool needs_ticket = false;
};

// A site with the queue `/one/` and the service `serve1`. The stand-ins last
// until the process ends.
class case_site {
 public:
  case_site(record& log, const case_options& options);

  // Starts the processes. Returns false if they do not get ready.
  bool Start();
  site& Processes() { return processes_; }
  store& Platform() { return platform_; }
  job_watch& Watch() { return watch_; }
  const std::vector<executor*>& Executors() const { return executors_; }

  // Calls about the job with this number.
  http_response Submit(std::size_t node, int job, const std::string& body,
                       int timeout_ms = 3000);
  http_response Show(std::size_t node, int job);
  http_response Cancel(std::size_t node, int job);
  // Hands the job in as consumers do: again at the next process, until the
  // answer says whether it was accepted, with four retries at most. Returns the
  // last status.
  int HandIn(int job, const std::string& body);

  // Percent of the processors that runs take.
  std::int64_t PercentInUse() const;
  // Number of tasks of this size that fit beside all runs.
  std::int64_t RoomFor(std::int64_t cpu) const;

 private:
  http_response CallAbout(std::size_t node, const std::string& method, int job,
                          const std::string& body, int timeout_ms);

  record& log_;
  store& platform_;
  http_server& store_server_;
  job_watch watch_;
  std::vector<executor*> executors_;
  site processes_;
};

std::string JobId(int number);
void SleepMs(std::int64_t time_ms);
// Prints and records the summary.
void Summarize(record& log, const std::string& summary);
// Runs a case as `PROGRAM FOLDER trouble` or `PROGRAM FOLDER calm`: `play` gets
// the folder of the record and whether the disruption is wanted. Ends this
// process with the outcome, without destroying the stand-ins.
[[noreturn]] void RunCase(
    int argc, char** argv,
    const std::function<int(const std::string&, bool)>& play);

}  // namespace waxwingfront::review_2

#endif  // WAXWINGFRONT_REVIEW_STANDIN_2_CASE_TOOLS_H_
