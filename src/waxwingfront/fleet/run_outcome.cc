#include "waxwingfront/fleet/run_outcome.h"

namespace waxwingfront::fleet {

bool SentByExecutor(start_outcome outcome) {
  return outcome != start_outcome::kUnreachable &&
         outcome != start_outcome::kConnectionsBusy &&
         outcome != start_outcome::kUnknown &&
         outcome != start_outcome::kNotSent;
}

bool MayBeExecuted(start_outcome outcome) {
  return outcome == start_outcome::kUnknown ||
         outcome == start_outcome::kUnclear;
}

run_outcome OutcomeOf(run_end how) {
  switch (how) {
    case run_end::kDone:
      return run_outcome::kDone;
    case run_end::kFailed:
      return run_outcome::kFailed;
    case run_end::kStopped:
      return run_outcome::kStopped;
    case run_end::kLapsed:
      return run_outcome::kLapsed;
    case run_end::kBroken:
      return run_outcome::kBroken;
    case run_end::kGangIncomplete:
      return run_outcome::kGangIncomplete;
  }
  return run_outcome::kFailed;
}

bool ReportedByExecutor(run_outcome outcome) {
  return outcome <= run_outcome::kGangIncomplete;
}

std::string_view OutcomeName(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::kDone:
      return "done";
    case run_outcome::kFailed:
      return "failed";
    case run_outcome::kStopped:
      return "stopped";
    case run_outcome::kLapsed:
      return "lapsed";
    case run_outcome::kBroken:
      return "broken";
    case run_outcome::kGangIncomplete:
      return "alone";
    case run_outcome::kNotStarted:
      return "not_started";
    case run_outcome::kUnknownToExecutor:
      return "forgotten";
    case run_outcome::kExpired:
      return "expired";
  }
  return "unknown";
}

std::string_view OutcomeName(start_outcome outcome) {
  switch (outcome) {
    case start_outcome::kAccepted:
      return "accepted";
    case start_outcome::kNoCapacity:
      return "no_capacity";
    case start_outcome::kFenced:
      return "fenced";
    case start_outcome::kStaleRun:
      return "stale_run";
    case start_outcome::kDeadlinePassed:
      return "deadline_passed";
    case start_outcome::kUnhealthy:
      return "unhealthy";
    case start_outcome::kIncarnationChanged:
      return "incarnation_changed";
    case start_outcome::kNotPermitted:
      return "not_permitted";
    case start_outcome::kMalformed:
      return "malformed";
    case start_outcome::kUnreachable:
      return "unreachable";
    case start_outcome::kConnectionsBusy:
      return "connections_busy";
    case start_outcome::kUnknown:
      return "no_response";
    case start_outcome::kUnclear:
      return "unclear_response";
    case start_outcome::kNotSent:
      return "not_sent";
  }
  return "unknown";
}

}  // namespace waxwingfront::fleet
