// Stand-in for an executor. A task's `spec` says how it behaves:
// "ms=DURATION end=HOW", for example "ms=500 end=done".
#ifndef WAXWINGFRONT_REVIEW_EXECUTOR_H_
#define WAXWINGFRONT_REVIEW_EXECUTOR_H_

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

namespace waxwingfront::review {

struct executor_options {
  std::string id;
  std::string service;
  std::string kind = "a";
  std::string rack = "r1";
  // Its queue has an adviser, so that starts need a ticket.
  bool needs_ticket = false;
  // From its start until its first status report.
  milliseconds first_report{0};
};

// What an executor did, for the record and the checks.
struct run_event {
  // "begun", an end, "seen" for an end that `last_seen` reached, or "refused".
  std::string what;
  std::string task;
  std::int64_t run = 0;
  std::string executor;
  std::string kind;
  // How the run ended, for "seen"; why, for "refused".
  std::string detail;
};

class executor {
 public:
  executor(store& platform, executor_options options,
           std::function<void(const run_event&)> report);
  executor(const executor&) = delete;
  executor& operator=(const executor&) = delete;

  const std::string& Id() const { return options_.id; }
  const std::string& Service() const { return options_.service; }
  // Everything stops; nothing answers until `Restart`.
  void Crash();
  // Starts again under the same id as an executor of this kind.
  void Restart(const std::string& kind);

 private:
  using clock = std::chrono::steady_clock;

  struct live_run {
    std::int64_t run = 0;
    clock::time_point end;
    std::string how;
  };
  struct ended_run {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  http_response Handle(const http_request& request);
  http_response Start(const std::string& body);
  http_response Stop(const std::string& body);
  http_response Hold(const std::string& body,
                     std::unique_lock<std::mutex>& lock);
  http_response Refuse(const std::string& task, std::int64_t run,
                       const std::string& reason);
  http_response Accept() const;
  void Reset(const std::string& kind);
  void Report(const std::string& what, const std::string& task,
              std::int64_t run, const std::string& detail = "") const;
  void End(const std::string& task, const std::string& how);
  void Extend(std::int64_t deadline_ms);
  // Ends runs that are over and all runs once the lease has lapsed.
  void Advance();
  void Work();
  std::int64_t ClockMs() const;
  std::string Entry() const;

  store& platform_;
  executor_options options_;
  std::function<void(const run_event&)> report_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool up_ = true;
  std::string kind_;
  std::int64_t born_ms_ = 0;
  clock::time_point started_;
  clock::time_point next_report_;
  clock::time_point last_report_;
  bool listed_ = false;
  std::int64_t sequence_ = 0;
  std::int64_t token_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::int64_t last_number_ = 0;
  std::map<std::string, live_run> running_;
  std::map<std::string, std::int64_t> highest_ended_;
  std::deque<ended_run> ended_;
  std::unique_ptr<http_server> server_;
};

}  // namespace waxwingfront::review

#endif  // WAXWINGFRONT_REVIEW_EXECUTOR_H_
