#include "waxwingfront/fleet/run_outcome.h"

namespace waxwingfront::fleet {

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

}  // namespace waxwingfront::fleet
