#include "waxwingfront/fleet/run_fate.h"

namespace waxwingfront::fleet {

run_fate FateOf(run_end how) {
  switch (how) {
    case run_end::kDone:
      return run_fate::kDone;
    case run_end::kFailed:
      return run_fate::kFailed;
    case run_end::kStopped:
      return run_fate::kStopped;
    case run_end::kLapsed:
      return run_fate::kLapsed;
    case run_end::kBroken:
      return run_fate::kBroken;
    case run_end::kGangIncomplete:
      return run_fate::kAlone;
  }
  return run_fate::kFailed;
}

bool IsListed(run_fate fate) { return fate <= run_fate::kAlone; }

std::string_view FateName(run_fate fate) {
  switch (fate) {
    case run_fate::kDone:
      return "done";
    case run_fate::kFailed:
      return "failed";
    case run_fate::kStopped:
      return "stopped";
    case run_fate::kLapsed:
      return "lapsed";
    case run_fate::kBroken:
      return "broken";
    case run_fate::kAlone:
      return "alone";
    case run_fate::kNotStarted:
      return "not_started";
    case run_fate::kForgotten:
      return "forgotten";
    case run_fate::kExpired:
      return "expired";
  }
  return "unknown";
}

}  // namespace waxwingfront::fleet
