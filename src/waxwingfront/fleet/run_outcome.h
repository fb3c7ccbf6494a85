// Outcome of a run of a task.
#ifndef WAXWINGFRONT_FLEET_RUN_OUTCOME_H_
#define WAXWINGFRONT_FLEET_RUN_OUTCOME_H_

#include <string_view>

#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

// Why a run is over. Executors report the first six.
enum class run_outcome {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken,
  kGangIncomplete,
  // The start was rejected or never sent.
  kNotStarted,
  // The executor responds but has no record of the run.
  kUnknownToExecutor,
  // The executor's lease has surely lapsed.
  kExpired,
};

// Returns the outcome's name in logs.
std::string_view OutcomeName(run_outcome outcome);

// The same for the outcome of a start.
std::string_view OutcomeName(start_outcome outcome);

// True if the executor responded to the start.
bool SentByExecutor(start_outcome outcome);

// True if the outcome leaves open whether the start was or will be executed.
bool MayBeExecuted(start_outcome outcome);

run_outcome OutcomeOf(run_end how);

// True if an executor reported the outcome, which implies that the run had
// begun.
bool ReportedByExecutor(run_outcome outcome);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_RUN_OUTCOME_H_
