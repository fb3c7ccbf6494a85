// The jobs that callers sent, what they were told, and what executors ran.
#ifndef WAXWINGFRONT_TESTS_SOAK_JOB_BOOK_H_
#define WAXWINGFRONT_TESTS_SOAK_JOB_BOOK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "review/standin/executor.h"
#include "soak/job_maker.h"
#include "soak/timeline.h"

namespace waxwingfront::soak {

struct job_bounds {
  milliseconds cancel{3000};
  milliseconds stop_timeout{900};
  milliseconds contact{3000};
  milliseconds gang_timeout{3000};
  std::int64_t early_ms = 250;
  milliseconds visible{3000};
  milliseconds status{120'000};
  int max_attempts = 3;
};

class job_book {
 public:
  job_book(timeline& log, const job_bounds& bounds)
      : log_(log), bounds_(bounds) {}

  // Whether a fault acted on any process or link in this time before now;
  // orders may be carried out late then.
  std::function<bool(milliseconds)> is_disturbed = [](milliseconds) {
    return false;
  };

  void Sent(const soak_job& job);
  // Status 0: no answer.
  void Answered(const std::string& id, int status);
  void Cancelled(const std::string& id, int status);
  // `sent_at`: when the request was sent.
  void Shown(const std::string& id, int status, std::string_view body,
             milliseconds sent_at, std::string_view where);
  // `at`: when it happened, before any wait for another event.
  void Ran(const review::run_event& event, milliseconds at);

  // Checks of what has to happen in time; to be called often.
  void CheckNow();

  // Accepted jobs that nobody cancelled and whose tasks aren't all done; a task
  // that lasts counts once it has begun.
  std::vector<std::string> Unfinished() const;
  // Accepted jobs that nobody cancelled and which have to be known still.
  std::vector<std::string> Owed() const;
  // Checks that only hold once all answers are known.
  void CheckRefused();
  std::string Summary() const;
  std::size_t QueueOf(const std::string& id) const;
  bool Lasts(const std::string& id) const;
  // Whether a task of a job whose cancel was confirmed runs.
  bool AnyStopping() const;

 private:
  struct run_place {
    std::string executor;
    std::int64_t run = 0;
    bool operator<(const run_place& other) const {
      return std::tie(executor, run) < std::tie(other.executor, other.run);
    }
  };
  struct task_state {
    std::set<run_place> running;
    // Ends `done` and when they were.
    std::map<run_place, milliseconds> done;
    // When the first end `done` was that is acknowledged.
    std::optional<milliseconds> done_seen;
    std::optional<milliseconds> last_begun;
    std::optional<milliseconds> last_end;
    int failed = 0;
    // A breach is reported once.
    bool missed = false;
    bool overran = false;
  };
  struct job_state {
    std::size_t queue = 0;
    job_kind kind = job_kind::kPlain;
    int tasks = 0;
    int width = 0;
    std::int64_t first_run_ms = 0;
    std::int64_t interval_ms = 0;
    int attempts = 0;
    int refusals = 0;
    bool begun = false;
    milliseconds last_sent{0};
    std::optional<milliseconds> accepted;
    std::optional<milliseconds> cancel_sent;
    std::optional<milliseconds> cancelled;
    std::optional<milliseconds> shown_ended;
    std::optional<milliseconds> shown_completed;
    std::map<std::string, task_state> task_states;
  };

  bool AllDone(const job_state& job) const;
  static bool AllBegun(const job_state& job);
  std::optional<milliseconds> EndOf(const job_state& job) const;
  void Begun(job_state& job, const review::run_event& event, milliseconds at);
  void Done(job_state& job, const review::run_event& event, milliseconds at);
  void Seen(job_state& job, const review::run_event& event);
  // The task, or all members of its gang.
  static std::vector<std::string> Members(const job_state& job,
                                          const std::string& task);
  void CheckGang(const job_state& job, const review::run_event& event);
  void CheckDue(const job_state& job, const review::run_event& event);
  void CheckLasting(const std::string& id, job_state& job, milliseconds now);
  void CheckStopped(job_state& job, milliseconds now);
  static bool IsRunning(const job_state& job);

  timeline& log_;
  job_bounds bounds_;
  mutable std::mutex mutex_;
  std::map<std::string, job_state> jobs_;
  // Accepted jobs whose tasks last and that nobody cancelled.
  std::set<std::string> lasting_;
  // Jobs whose cancel was confirmed and whose tasks may run.
  std::set<std::string> stopping_;
  milliseconds next_check_{0};
  int starts_ = 0;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_JOB_BOOK_H_
