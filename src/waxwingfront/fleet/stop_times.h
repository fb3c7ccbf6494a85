// Measures how long it takes this leader to stop runs, so that stops begin
// early enough for the ends to be known before an executor leaves.
#ifndef WAXWINGFRONT_FLEET_STOP_TIMES_H_
#define WAXWINGFRONT_FLEET_STOP_TIMES_H_

#include <cstddef>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/executor_state.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/fleet/run_outcome.h"

namespace waxwingfront::fleet {

struct stop_time_options {
  // Bounds of the lead. Executors report when they leave some ten seconds
  // before, and a task that is stopped early stands still for longer.
  core::milliseconds min_lead{1500};
  core::milliseconds max_lead{6000};
  // Weight of the newest measurement.
  double smoothing_factor = 0.1;
  // How many mean deviations the lead exceeds the mean by.
  double deviations = 3.0;
};

// Moving mean of a duration and of its distance from that mean.
class moving_duration {
 public:
  void Record(core::milliseconds taken, double weight);

  bool Empty() const { return empty_; }
  double MeanMs() const { return mean_ms_; }
  double DeviationMs() const { return deviation_ms_; }

 private:
  bool empty_ = true;
  double mean_ms_ = 0.0;
  double deviation_ms_ = 0.0;
};

// The stops of one executor leave in turn. Each takes a turn, from the response
// to the one before it to its own, and after that the time until the end of the
// run is known.
class stop_times {
 public:
  explicit stop_times(stop_time_options options) : options_(options) {}

  // A call that the executor answered at once took this long: no turn takes
  // less.
  void RecordRoundTrip(core::milliseconds taken);
  // The executor confirmed the stop of a run that was active when it was
  // ordered.
  void OnConfirmed(executor_state& executor, const task_state& task,
                   core::monotonic_time now);
  // A run is over. Only those that a stop ended count.
  void OnEnded(executor_state& executor, const task_state& task,
               run_outcome outcome, core::monotonic_time now);

  // Returns how long before an executor leaves this many stops have to be
  // ordered there.
  core::milliseconds LeadFor(std::size_t stops) const;

 private:
  void RecordTurn(executor_state& executor, const task_state& task,
                  core::monotonic_time now);

  stop_time_options options_;
  moving_duration round_trips_;
  moving_duration turns_;
  moving_duration ends_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STOP_TIMES_H_
