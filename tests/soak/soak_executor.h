// Stand-in for an executor whose faults are switched at run time. It is reached
// through a `fault_proxy`, and its entry in the store holds the proxy's
// address.
#ifndef WAXWINGFRONT_TESTS_SOAK_SOAK_EXECUTOR_H_
#define WAXWINGFRONT_TESTS_SOAK_SOAK_EXECUTOR_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "review/standin/executor.h"
#include "review/standin/http.h"
#include "review/standin/store.h"
#include "soak/fault_proxy.h"
#include "soak/run_table.h"

namespace waxwingfront::soak {

// How a start is answered.
enum class odd_answer : std::uint8_t {
  kNone,
  // Statuses; nothing is done.
  kUnavailable,
  kTooMany,
  kInternalError,
  // Carried out, but the caller does not learn it.
  kNoJson,
  kCutOff,
  // The connection is closed and nothing is done.
  kClosed,
};

struct executor_fault {
  odd_answer start = odd_answer::kNone;
  // Every n-th start is answered so.
  int start_every = 1;
  // Starts and stops are carried out and answered this much later.
  milliseconds order_delay{0};
  // Every response is sent this much later.
  milliseconds response_delay{0};
  // Tasks take this many times as long, from their start.
  double slowness = 1;
  // Writes no entries; its entry expires although it serves.
  bool unreported = false;
};

struct soak_executor_options {
  review::executor_options common;
  milliseconds heartbeat{1500};
  // From its draining entry until it leaves.
  milliseconds drain{2000};
  std::int64_t max_hold_ms = 10'000;
  // Thousandths of a core.
  int cpu = 32'000;
  // The clock may be 2 % slow.
  double clock_rate = 1;
  // Outlives the executor.
  gang_hall* gangs = nullptr;
};

// Thread-safe. Threads use it until the process ends, so it is never destroyed.
class soak_executor {
 public:
  // `report` is called as by `review::executor`, also with "gone" for runs that
  // a loss ended.
  soak_executor(review::store& platform, soak_executor_options options,
                std::function<void(const review::run_event&)> report);
  soak_executor(const soak_executor&) = delete;
  soak_executor& operator=(const soak_executor&) = delete;

  const std::string& Id() const { return options_.common.id; }
  const std::string& Service() const { return options_.common.service; }
  fault_proxy& Link() { return *proxy_; }

  void Set(const executor_fault& fault);
  // Everything that runs terminates, and nothing answers until `Restart`. The
  // entry expires after three heartbeats.
  void Crash();
  // Starts again under the same id as an executor of this kind, also if it has
  // not crashed.
  void Restart(const std::string& kind);
  // Its clock steps forward.
  void StepClock(milliseconds step);
  // Its entry is gone for `time`, then back, while it serves.
  void Lapse(milliseconds time);
  // Reports `draining`, serves for `drain`, then terminates and removes its
  // entry.
  void Drain();
  bool IsUp();

 private:
  using clock = std::chrono::steady_clock;

  review::http_response Handle(const review::http_request& request);
  review::http_response Execute(const review::http_request& request,
                                std::unique_lock<std::mutex>& lock);
  review::http_response Start(const review::http_request& request);
  review::http_response Hold(const review::http_request& request,
                             std::unique_lock<std::mutex>& lock);
  void Boot(const std::string& kind);
  void Leave();
  void Work();
  std::string Entry() const;

  review::store& platform_;
  soak_executor_options options_;
  std::function<void(const review::run_event&)> report_;
  std::mutex mutex_;
  std::condition_variable changed_;
  executor_fault fault_;
  int starts_ = 0;
  bool up_ = true;
  bool listed_ = false;
  std::string kind_;
  std::int64_t boot_ = 0;
  std::int64_t sequence_ = 0;
  clock::time_point next_report_;
  clock::time_point last_report_;
  clock::time_point lapsed_until_;
  // Set while it drains.
  clock::time_point leaves_at_ = clock::time_point::max();
  std::unique_ptr<run_table> runs_;
  std::unique_ptr<review::http_server> server_;
  std::unique_ptr<fault_proxy> proxy_;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_SOAK_EXECUTOR_H_
