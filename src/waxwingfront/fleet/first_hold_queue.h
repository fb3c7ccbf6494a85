// Queue of first holds: holds to executors that are not in contact. Each may
// need a new connection, and a new leader has to send one to every executor.
#ifndef WAXWINGFRONT_FLEET_FIRST_HOLD_QUEUE_H_
#define WAXWINGFRONT_FLEET_FIRST_HOLD_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct first_hold_queue_options {
  std::size_t max_in_flight = 64;
  std::size_t min_in_flight = 8;
  // Load of one first hold on this process's link, including the connection
  // setup.
  std::size_t bytes = 1024;
  // Maximum time for which first holds alone may saturate the link.
  core::milliseconds max_link_time{50};
};

// Returns how many first holds may be in flight on a link of `link_mbps`
// Mbit/s; 0 stands for an unknown link speed.
std::size_t MaxFirstHoldsInFlight(double link_mbps,
                                  const first_hold_queue_options& options);

// Priority of a first hold, the most urgent first.
enum class hold_urgency {
  // Only the latest hold failed, and the executor's runs have little time left
  // before they lapse.
  kSingleFailure,
  // No hold has failed yet, and runs are recorded on the executor.
  kFirstWithRuns,
  // No hold has failed yet, and no runs are recorded.
  kFirstIdle,
  // The latest hold failed: the executor may be dead, and live ones have
  // priority.
  kRetry,
};

class first_hold_queue {
 public:
  explicit first_hold_queue(std::size_t max_in_flight)
      : max_in_flight_(max_in_flight) {}

  // Queues the executor; keeps its position if it is already queued.
  void Add(const std::string& executor, hold_urgency urgency);
  // Removes and returns the executor to send the next hold to: the most urgent
  // one, now and then the one that was queued first. Nothing if none is queued
  // or the maximum is in flight.
  std::optional<std::string> TakeNext();
  // Called when the hold to a returned executor has ended or was not needed.
  void Release() { --in_flight_; }

 private:
  using queue_key = std::pair<hold_urgency, std::uint64_t>;

  std::size_t max_in_flight_;
  std::size_t in_flight_ = 0;
  std::uint64_t next_ = 0;
  // Turns in a row that did not go to the executor that was queued first.
  std::uint64_t passed_over_ = 0;
  std::map<queue_key, std::string> pending_;
  std::set<std::string> queued_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FIRST_HOLD_QUEUE_H_
