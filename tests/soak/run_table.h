// What runs and what has ended on a stand-in for an executor, in one boot. A
// task's `spec` says how it behaves: "ms=DURATION end=HOW"; "end=lasts" lasts
// until it is stopped, and fails after one, three or five times DURATION.
// "gang=SIZE" makes it a member of a gang that works from the moment when all
// are present.
#ifndef WAXWINGFRONT_TESTS_SOAK_RUN_TABLE_H_
#define WAXWINGFRONT_TESTS_SOAK_RUN_TABLE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "review/standin/http.h"
#include "soak/gang_hall.h"

namespace waxwingfront::soak {

using std::chrono::milliseconds;

struct run_table_options {
  bool needs_ticket = false;
  std::int64_t max_hold_ms = 10'000;
  // Speed of its clock.
  double clock_rate = 1;
  // A task's duration is multiplied by this.
  double slowness = 1;
  milliseconds gang_timeout{3000};
  // Outlives the table.
  gang_hall* gangs = nullptr;
};

// Not thread-safe.
class run_table {
 public:
  // Called with "begun", "refused", an end, or "seen" for an end that
  // `last_seen` reached: "seen_after_lapse" if the lease lapsed in between, as
  // the end does not count as taken note of then.
  using report_hook =
      std::function<void(const std::string& what, const std::string& task,
                         std::int64_t run, const std::string& detail)>;

  run_table(const run_table_options& options, std::int64_t born_ms,
            report_hook report);

  review::http_response Start(const std::string& body);
  review::http_response Stop(const std::string& body);
  // Takes note of `fencing_token`, `last_seen` and `deadline_ms`.
  review::http_response Note(const std::string& body);
  review::http_response Accept() const;
  // Both lists.
  review::http_response Lists() const;
  bool AnyEnded() const { return !ended_.empty(); }
  // Ends what is over, and everything once the lease has expired.
  void Advance();
  // Everything terminates, and nothing is listed afterwards.
  void Abandon();
  void SetSlowness(double slowness) { options_.slowness = slowness; }
  // Forward: leases end sooner. A clock that went back would not be steady.
  void StepClock(milliseconds step) { stepped_ += step; }
  std::int64_t ClockMs() const;
  std::int64_t BornMs() const { return born_ms_; }

 private:
  using clock = std::chrono::steady_clock;

  struct live_run {
    std::int64_t run = 0;
    clock::time_point begun;
    clock::time_point end;
    std::string how;
    bool lasts = false;
    bool is_member = false;
  };
  struct ended_run {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  bool IsFenced(std::int64_t token);
  review::http_response Refuse(const std::string& task, std::int64_t run,
                               const std::string& reason) const;
  void Extend(std::int64_t deadline_ms);
  void End(const std::string& task, const std::string& how);
  // How the run ends now; empty while it goes on.
  std::string EndNow(const std::string& task, const live_run& run) const;
  static int Percent(const live_run& run);

  run_table_options options_;
  std::int64_t born_ms_;
  report_hook report_;
  clock::time_point started_ = clock::now();
  milliseconds stepped_{0};
  std::int64_t token_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::int64_t last_number_ = 0;
  // Number of the last end when the lease last lapsed.
  std::int64_t lapsed_through_ = 0;
  std::map<std::string, live_run> running_;
  std::map<std::string, std::int64_t> highest_ended_;
  std::deque<ended_run> ended_;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_RUN_TABLE_H_
