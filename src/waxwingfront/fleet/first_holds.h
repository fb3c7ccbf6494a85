// The order of first holds: those of executors that are not in contact. Each
// may need a connection, and a new leader has as many to send as executors.
#ifndef WAXWINGFRONT_FLEET_FIRST_HOLDS_H_
#define WAXWINGFRONT_FLEET_FIRST_HOLDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct first_holds_options {
  std::size_t most_in_flight = 64;
  std::size_t least_in_flight = 8;
  // What a first hold brings to this process's link, connection included.
  std::size_t bytes = 1024;
  // Longest time for which first holds alone may fill the link.
  core::milliseconds link_time{50};
};

// How many first holds may be in flight on a link of this many Mbit/s; 0 for
// an unknown link.
std::size_t FirstHoldsInFlight(double link_mbps,
                               const first_holds_options& options);

enum class hold_urgency {
  // It answered the hold before the last, and runs there have little time left.
  kLostOnce,
  // Not called yet, and runs are recorded there.
  kRuns,
  kNew,
  // Called in vain: it may be dead, and the living come first.
  kRepeated,
};

class first_holds {
 public:
  explicit first_holds(std::size_t most) : most_(most) {}

  // Queues the executor; its place stays if it is queued.
  void Add(const std::string& executor, hold_urgency urgency);
  // The executor to call now; nothing if none waits or enough are in flight.
  std::optional<std::string> Take();
  // A hold that was taken is over, or was not needed.
  void Over() { --in_flight_; }

 private:
  using place = std::pair<hold_urgency, std::uint64_t>;

  std::size_t most_;
  std::size_t in_flight_ = 0;
  std::uint64_t next_ = 0;
  std::map<place, std::string> waiting_;
  std::set<std::string> queued_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FIRST_HOLDS_H_
