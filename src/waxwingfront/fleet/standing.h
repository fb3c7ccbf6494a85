// The status that a process returns to an announcement of the leader.
#ifndef WAXWINGFRONT_FLEET_STANDING_H_
#define WAXWINGFRONT_FLEET_STANDING_H_

#include <cstdint>

#include "waxwingfront/fleet/leadership.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

// `announced` is the token of the leader that announced itself. Names the
// leader of a larger token if one is known.
schema::fleet_standing StandingOf(const leadership& election,
                                  std::int64_t strength, bool ready,
                                  std::int64_t announced);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STANDING_H_
