// Writes the leader's decisions about jobs and tasks to the event log.
#ifndef WAXWINGFRONT_FLEET_DECISION_LOG_H_
#define WAXWINGFRONT_FLEET_DECISION_LOG_H_

#include <cstdint>
#include <span>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/capacity_reserve.h"
#include "waxwingfront/fleet/executor_room.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/placement.h"
#include "waxwingfront/fleet/run_outcome.h"
#include "waxwingfront/logging/event_log.h"

namespace waxwingfront::fleet {

class decision_log {
 public:
  explicit decision_log(logging::event_log& log) : log_(log) {}

  void Placed(const task_state& task, std::int64_t manifest_version);
  void Waiting(const task_state& task, const placement_rejections& rejections,
               moment at);
  // True if `Room` may write now: lines for one task at a time, since they tell
  // about the service more than about the task.
  bool RoomDue(const task_state& task, moment at) const;
  // What the executors on which a waiting long-running task comes closest to
  // fitting are used for.
  void Room(const task_state& task, std::span<const executor_room> gaps,
            moment at);
  void ReserveChanged(const reserve_summary& summary);
  // Logs the times from acceptance to each milestone of the job's first task.
  void JobBegun(const job_state& job);
  void JobFinal(const job_state& job);
  // Logs how long its executor certainly stays, if it drains, and how long the
  // stops there are expected to take.
  void Moved(const task_state& task, const executor_state& executor,
             const stop_times& stops, moment at);
  // The start waits for its executor to respond to another hold.
  void StartDelayed(const start_order& order, moment at);
  void RunEnded(const task_state& task, run_outcome outcome);
  // All permits of the reply were void when it came.
  void PermitsVoid(const advice_request& request);

 private:
  logging::event_log& log_;
  core::monotonic_time room_logged_{};
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_DECISION_LOG_H_
