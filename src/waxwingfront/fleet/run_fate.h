// How a run of a task ended.
#ifndef WAXWINGFRONT_FLEET_RUN_FATE_H_
#define WAXWINGFRONT_FLEET_RUN_FATE_H_

#include <string_view>

#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

// Why a run is over. The first six are ends that the executor listed.
enum class run_fate {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken,
  kAlone,
  // The start was refused, or never left.
  kNotStarted,
  // The executor answers but no longer knows the run.
  kForgotten,
  // The executor's lease has surely lapsed.
  kExpired,
};

std::string_view FateName(run_fate fate);

run_fate FateOf(run_end how);

// Whether an executor listed the end, so that the run had begun.
bool IsListed(run_fate fate);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_RUN_FATE_H_
