// Writes the leader's decisions about jobs and tasks to the event log.
#ifndef WAXWINGFRONT_FLEET_DECISION_LOG_H_
#define WAXWINGFRONT_FLEET_DECISION_LOG_H_

#include <cstdint>

#include "waxwingfront/fleet/capacity_reserve.h"
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
  void ReserveChanged(const reserve_summary& summary);
  // Logs the times from acceptance to each milestone of the job's first task.
  void JobBegun(const job_state& job);
  void JobFinal(const job_state& job);
  void Moved(const task_state& task);
  // The start waits for its executor to respond to another hold.
  void StartDelayed(const start_order& order, moment at);
  void RunEnded(const task_state& task, run_outcome outcome);
  // All permits of the reply were void when it came.
  void PermitsVoid(const advice_request& request);

 private:
  logging::event_log& log_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_DECISION_LOG_H_
