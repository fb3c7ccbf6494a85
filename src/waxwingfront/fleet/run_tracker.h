// Follows the runs of tasks from what executors answer.
#ifndef WAXWINGFRONT_FLEET_RUN_TRACKER_H_
#define WAXWINGFRONT_FLEET_RUN_TRACKER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/lease_expiry.h"
#include "waxwingfront/fleet/run_fate.h"

namespace waxwingfront::fleet {

// Where and when a hold was sent.
struct hold_origin {
  std::string_view address;
  core::monotonic_time sent;
};

// How far ahead of its sending a deadline lies at most.
struct deadline_bounds {
  // One that this leader sent on its executor's present clock.
  core::milliseconds hold_reach;
  // Any other: executors shorten deadlines to this.
  core::milliseconds longest_hold;
};

struct run_tracker_options {
  // Pause before work is sent again to an executor that left an order without
  // an answer: single answers are lost, the next hold tells more.
  core::milliseconds unanswered_time{300};
  // Runs in a row that fail on an executor before it is avoided.
  int failures_to_avoid = 3;
  // How long an executor that fails, refuses or does not answer is avoided.
  core::milliseconds avoid_time{2000};
  core::milliseconds no_room_time{300};
  // A stop without confirmation is sent again after this time.
  core::milliseconds stop_retry{500};
  lease_expiry_options expiry;
};

class run_tracker {
 public:
  run_tracker(fleet_state& state, run_tracker_options options,
              deadline_bounds bounds)
      : state_(state), options_(options), bounds_(bounds) {}

  // Called with each run that is over, for logs and estimates.
  std::function<void(const task_state&, run_fate, moment)> on_over;

  // Called when the first task of a job that this leader accepted has begun.
  std::function<void(const job_state&)> on_begun;

  // Called with each job that completes or fails.
  std::function<void(const job_state&)> on_final;

  // An executor answered a hold sent at `sent`.
  void OnHold(std::string_view executor, const hold_report& report,
              core::monotonic_time sent, moment at);
  void OnNoAnswer(std::string_view executor);
  // Another executor answered at the address that the hold went to. Says
  // nothing of runs elsewhere, nor of those that were confirmed since.
  void OnGone(std::string_view executor, const hold_origin& hold, moment at);

  void OnStartAnswer(const start_order& order, start_outcome outcome,
                     moment at);
  void OnStopAnswer(const stop_order& order, bool confirmed, moment at);

  // Nobody knows at which pace the task works now.
  void OnPaceFailed(const pace_order& order);

  // A job's record was stored: sends the starts that it permits and lets the
  // executors forget the ends in it.
  void OnJobStored(job_state& job, moment at);

  // Ends runs whose lease has lapsed and repeats stops.
  void Tick(moment at);

 private:
  void TakeRunning(executor_state& executor, const hold_report& report,
                   moment at);
  void TakeEnded(executor_state& executor, const hold_report& report,
                 moment at);
  void CloseUnlisted(executor_state& executor, const hold_report& report,
                     core::monotonic_time sent, moment at);
  void NoteBegun(job_state& job, moment at) const;
  void Over(task_state& task, run_fate fate, moment at);
  // The other members of a gang end with the first that does.
  void EndGangRun(task_state& first, run_fate fate, moment at);
  // Counts a failed run; fails the job when it was the last that it may have.
  void CountFailure(task_state& task, moment at);
  void CountHealth(executor_state& executor, const task_state& task,
                   run_fate fate, moment at);
  void FinishJob(job_state& job, schema::fleet_job_state state, moment at);

  fleet_state& state_;
  run_tracker_options options_;
  deadline_bounds bounds_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_RUN_TRACKER_H_
