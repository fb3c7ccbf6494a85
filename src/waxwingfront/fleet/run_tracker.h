// Tracks the runs of tasks from the responses of executors.
#ifndef WAXWINGFRONT_FLEET_RUN_TRACKER_H_
#define WAXWINGFRONT_FLEET_RUN_TRACKER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/lease_expiry.h"
#include "waxwingfront/fleet/restart_stages.h"
#include "waxwingfront/fleet/run_outcome.h"

namespace waxwingfront::fleet {

// Address and send time of a hold.
struct hold_origin {
  std::string_view address;
  core::monotonic_time sent;
};

// Maximum time from sending an order to its deadline.
struct deadline_bounds {
  // For starts that this leader sends, on the executor's present clock.
  core::milliseconds start_lease;
  // For any other deadline: executors shorten deadlines to this.
  core::milliseconds longest_hold;
};

struct run_tracker_options {
  // How long an executor that left an order unanswered is avoided. The time is
  // short because single responses get lost and the next hold shows more.
  core::milliseconds unanswered_avoid_time{300};
  // How long an executor that rejects a start or cannot be reached is avoided.
  core::milliseconds avoid_time{2000};
  // How long an executor without free capacity is avoided.
  core::milliseconds no_capacity_avoid_time{300};
  // An unconfirmed stop is sent again after this time.
  core::milliseconds stop_retry{500};
  lease_expiry_options expiry;
};

class run_tracker {
 public:
  run_tracker(fleet_state& state, run_tracker_options options,
              deadline_bounds bounds)
      : state_(state), restarts_(state), options_(options), bounds_(bounds) {}

  restart_stages& Restarts() { return restarts_; }
  stop_times& Stops() { return state_.stops; }

  // Called with each run that has ended, for logs and estimates.
  std::function<void(const task_state&, run_outcome, moment)> on_run_ended;

  // Called with each task that has succeeded.
  std::function<void(const task_state&, moment)> on_task_done;

  // Called when the first task of a job that this leader accepted has begun.
  std::function<void(const job_state&)> on_job_begun;

  // Called with each job that completes or fails.
  std::function<void(const job_state&)> on_job_final;

  // Processes an executor's report in response to a hold sent at `sent`.
  void OnHold(std::string_view executor, const hold_report& report,
              core::monotonic_time sent, moment at);
  // Records that a hold failed and that contact with the executor is lost.
  void OnHoldFailed(std::string_view executor, moment at);
  // Another executor responded at the address that the hold went to. Does not
  // end runs at other addresses or runs that were confirmed since the hold was
  // sent.
  void OnOtherIncarnation(std::string_view executor, const hold_origin& hold,
                          moment at);

  void OnStartResponse(const start_order& order, start_outcome outcome,
                       moment at);
  void OnStopResponse(const stop_order& order, bool confirmed, moment at);

  // Marks the pace at which the task works as unknown.
  void OnPaceFailed(const pace_order& order);

  // Called when a job's record was stored: sends the starts that the record
  // permits and lets the executors forget the ends recorded in it.
  void OnJobStored(job_state& job, moment at);

  // Ends runs whose lease has lapsed and repeats unconfirmed stops.
  void Tick(moment at);

 private:
  void ProcessRunning(executor_state& executor, const hold_report& report,
                      moment at);
  void ProcessEnded(executor_state& executor, const hold_report& report,
                    moment at);
  void EndUnlistedRuns(executor_state& executor, const hold_report& report,
                       core::monotonic_time sent, moment at);
  // Sends the start of a placed task once the placement is stored and the
  // executor was held recently; releases the task if it may not start there.
  void SendPlacedStart(task_state& task, moment at);
  void SendPlacedStarts(executor_state& executor, moment at);
  void MarkBegun(job_state& job, moment at) const;
  void EndRun(task_state& task, run_outcome outcome, moment at);
  // Ends the runs of a gang's other members when one member's run has ended.
  void EndGangRun(task_state& ended_member, run_outcome outcome, moment at);
  // Counts a failed run; fails the job when its retry budget is used up.
  void CountFailure(task_state& task, moment at);
  void UpdateHealth(executor_state& executor, const task_state& task,
                    run_outcome outcome, moment at);
  void FinishJob(job_state& job, schema::fleet_job_state state, moment at);

  fleet_state& state_;
  restart_stages restarts_;
  run_tracker_options options_;
  deadline_bounds bounds_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_RUN_TRACKER_H_
