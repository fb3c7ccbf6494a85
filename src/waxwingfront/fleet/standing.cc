#include "waxwingfront/fleet/standing.h"

namespace waxwingfront::fleet {

schema::fleet_standing StandingOf(const leadership& election,
                                  std::int64_t strength, bool ready,
                                  std::int64_t announced) {
  schema::fleet_standing standing;
  standing.set_strength(strength);
  standing.set_ready(ready);
  // A leader that is cut off from the store learns it only this way.
  if (!election.Leader().empty() && election.LatestToken() > announced) {
    standing.set_newer_token(election.LatestToken());
    standing.set_newer_address(election.Leader());
  }
  return standing;
}

}  // namespace waxwingfront::fleet
