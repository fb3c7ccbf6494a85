// Starts on their way to the executors, limited to what the link of this
// process carries.
//
// What is sent beyond that waits in the sockets, where urgent starts, holds and
// lease renewals cannot overtake it, until the deadlines of the starts pass.
#ifndef WAXWINGFRONT_FLEET_START_QUEUE_H_
#define WAXWINGFRONT_FLEET_START_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

struct start_queue_options {
  // Speed of the link in Mbit/s; 0 if it is unknown, which sets no limits.
  double link_mbps = 0.0;
  // Maximum time for which the starts in flight of one urgency alone may
  // saturate the link.
  core::milliseconds max_link_time{100};
  // The same for short tasks that are placed and whose start was not sent yet.
  core::milliseconds max_backlog_time{200};
};

struct start_queue_levels {
  // Starts that may be sent as soon as the link has room for them.
  std::size_t waiting = 0;
  // Size of the starts of short tasks that are placed and were not sent yet.
  std::size_t backlog_bytes = 0;
  // Size of the starts that were sent and have no response.
  std::size_t bytes_in_flight = 0;
};

// Returns the size of the start of a short task on the link.
std::size_t StartBytesOf(const task_state& task);

class start_queue {
 public:
  explicit start_queue(start_queue_options options = {});

  // The task was placed. A short one counts as backlog until it is withdrawn.
  void OnPlaced(task_state& task);
  // The task's start was sent or given up. Does nothing if the task does not
  // count as backlog.
  void Withdraw(task_state& task);
  // True if no further short tasks should be placed, because their starts would
  // only wait for those of others.
  bool IsFull() const;

  void Add(start_order order);
  // Removes and returns the starts to be sent now: those of interrupted
  // long-running tasks first, then those of new ones, then those of short
  // tasks. None is sent while a more urgent one waits for the link. Each is in
  // flight until its first response.
  std::vector<start_order> Take();
  // Handles a response to a start, or its failure. Further ones are ignored.
  void OnResponse(const start_order& order);

  start_queue_levels Levels() const;

 private:
  struct lane {
    std::deque<start_order> waiting;
    std::size_t bytes_in_flight = 0;
  };
  enum urgency : std::size_t { kInterrupted, kLongRunning, kShort };
  static constexpr std::size_t kUrgencies = 3;

  lane& LaneOf(const start_order& order);
  // Takes as many starts as the link has room for.
  void TakeFrom(lane& from, std::vector<start_order>& taken);

  // Limits in bytes; empty if the speed of the link is unknown.
  std::optional<std::size_t> max_in_flight_;
  std::optional<std::size_t> max_backlog_;
  // By urgency.
  std::array<lane, kUrgencies> lanes_;
  // Sizes of starts in flight, by the number of the order.
  std::unordered_map<std::uint64_t, std::size_t> in_flight_;
  std::uint64_t last_number_ = 0;
  std::size_t backlog_bytes_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_START_QUEUE_H_
