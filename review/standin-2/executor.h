// Stand-in for an executor: runs, leases, lists of ends, and tail latencies of
// serving tasks that best-effort tasks beside them raise.
#ifndef WAXWINGFRONT_REVIEW_STANDIN_2_EXECUTOR_H_
#define WAXWINGFRONT_REVIEW_STANDIN_2_EXECUTOR_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "http.h"
#include "store.h"

namespace waxwingfront::review_2 {

struct executor_options {
  std::string id;
  std::string service = "serve1";
  std::string kind = "a";
  std::string rack = "r1-1";
  std::int64_t cpu = 32'000;
  std::int64_t memory_mb = 128'000;
  std::int64_t max_hold_ms = 10'000;
  // Rejects a start without a ticket.
  bool needs_ticket = false;
};

// `what` is begun, refused, seen, gone, or how a run ended.
struct run_event {
  std::string what;
  std::string task;
  std::int64_t run = 0;
  std::string executor;
  std::string detail;
};

// Words of a job's spec that executors understand:
//   ms=N     work of a task at full pace
//   lasts=1  the task lasts until it is stopped
//   cpu=N    processor thousandths that a task takes from the capacity
//   own=X    utilisation of a serving task by its own users
//   base=N   its tail latency in ms without load
//   cores=X  cores that a best-effort task uses at full pace
//   press=X  utilisation that it adds to serving tasks, per core
// Thread-safe; never destroyed.
class executor {
 public:
  executor(store& platform, executor_options options,
           std::function<void(const run_event&)> report);

  const std::string& Id() const { return options_.id; }
  // Lost for good: all runs end, nothing answers, and the entry expires after
  // three heartbeats.
  void Crash();
  std::size_t Running();
  bool IsUp();
  std::int64_t Cpu() const { return options_.cpu; }
  // Thousandths of a core that are not taken; none if it is lost.
  std::int64_t FreeCpu();

 private:
  using clock = std::chrono::steady_clock;

  struct live_run {
    std::int64_t run = 0;
    std::string spec;
    // Work that is left at full pace.
    double left_ms = 0;
    bool lasts = false;
    int pace = 100;
    clock::time_point begun;
  };
  struct ended_run {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  http_response Handle(const http_request& request);
  http_response Start(const std::string& text);
  http_response Stop(const std::string& text);
  http_response Pace(const std::string& text);
  http_response Hold(const std::string& text,
                     std::unique_lock<std::mutex>& lock);
  http_response Accept() const;
  http_response Refuse(const std::string& reason) const;
  bool IsFenced(std::int64_t token);
  void Extend(std::int64_t deadline_ms);
  std::int64_t ClockMs() const;
  std::int64_t UsedCpu() const;
  std::int64_t LoadOf(const live_run& run) const;
  std::string Lists() const;
  std::string Entry() const;
  void End(const std::string& task, const std::string& how);
  void Work();
  void Advance(double elapsed_ms);

  store& platform_;
  executor_options options_;
  std::function<void(const run_event&)> report_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool up_ = true;
  bool listed_ = false;
  clock::time_point started_ = clock::now();
  clock::time_point last_beat_;
  std::int64_t born_ms_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t token_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::int64_t last_number_ = 0;
  std::map<std::string, live_run> running_;
  std::map<std::string, std::int64_t> highest_ended_;
  std::deque<ended_run> ended_;
  std::unique_ptr<http_server> server_;
};

}  // namespace waxwingfront::review_2

#endif  // WAXWINGFRONT_REVIEW_STANDIN_2_EXECUTOR_H_
