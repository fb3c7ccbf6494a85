// Starts on their way to the executors, limited to what the link of this
// process carries and to what its connections to each executor carry at once.
//
// What is sent beyond that waits in the sockets or for a connection, where
// urgent starts, holds and lease renewals cannot overtake it, until the
// deadlines of the starts pass.
#ifndef WAXWINGFRONT_FLEET_START_QUEUE_H_
#define WAXWINGFRONT_FLEET_START_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/fleet/types.h"
#include "waxwingfront/fleet/unread_responses.h"

namespace waxwingfront::fleet {

struct start_queue_options {
  // Speed of the link in Mbit/s; 0 if it is unknown, which sets no limits.
  double link_mbps = 0.0;
  // Maximum time for which the starts in flight of one urgency alone may
  // saturate the link.
  core::milliseconds max_link_time{100};
  // The same for short tasks that are placed and whose start was not sent yet.
  core::milliseconds max_backlog_time{200};
  // Time without a response to any start after which unanswered starts are
  // taken to have left the link. Shorter times would not protect links that
  // are slower than their nominal speed.
  core::milliseconds max_silence{400};
};

struct start_queue_levels {
  // Starts that may be sent as soon as the link has room for them.
  std::size_t waiting = 0;
  // Starts that wait for the response to another one from the same executor.
  std::size_t behind_others = 0;
  // Size of the starts of short tasks that are placed and were not sent yet.
  std::size_t backlog_bytes = 0;
  // Size of the starts that were sent and may not have left the link yet.
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

  // Sets how many starts one executor may get at once, at least 1; nothing for
  // no limit.
  void SetMaxPerExecutor(std::optional<std::size_t> starts) {
    max_per_executor_ = starts;
  }

  // Adds a start behind those of its urgency that were placed no later.
  void Add(start_order order);
  // Removes and returns the starts to be sent now: those of interrupted
  // long-running tasks first, then those of new ones, then those of short
  // tasks. None is sent while a more urgent one waits for the link, or while
  // its executor has not responded to enough others, which the most urgent of
  // those behind them follows. Each is in flight until its first response or
  // failure. For the limit of the link, an unanswered one leaves the link
  // earlier: once the link had the time to carry it at its nominal speed, and
  // an executor has responded to a later start, its response may have arrived
  // unread, or no executor has responded for `max_silence`.
  std::vector<start_order> Take(core::monotonic_time now);
  // Handles a response to a start, or its failure.
  void OnResponse(const start_order& order, start_outcome outcome,
                  core::monotonic_time now);

  // Records that a timer of this process fired so much later than requested:
  // responses are read as late.
  void RecordLateness(core::milliseconds lateness, core::monotonic_time now) {
    unread_.RecordLateness(lateness, now);
  }

  // Returns when `Take` may return starts that wait now, without any response
  // in between; nothing if none wait.
  std::optional<core::monotonic_time> NextRoom() const;

  start_queue_levels Levels() const;

 private:
  // Starts for one executor.
  struct executor_starts {
    std::size_t unanswered = 0;
    std::deque<start_order> behind;
  };
  struct lane {
    std::deque<start_order> waiting;
    std::size_t bytes_in_flight = 0;
  };
  enum urgency : std::size_t { kInterrupted, kLongRunning, kShort };
  static constexpr std::size_t kUrgencies = 3;
  struct sent_start {
    urgency of;
    std::size_t bytes;
    core::monotonic_time sent;
    // When a link of nominal speed has carried it.
    core::monotonic_time carried;
  };
  using sent_starts = std::map<std::uint64_t, sent_start>;

  static urgency UrgencyOf(const start_order& order);
  // Inserts the start behind those that were placed no later.
  static void Insert(std::deque<start_order>& waiting, start_order order);
  // The executor has responded to the start, or will not: the next one for it
  // may be sent.
  void OnAnswered(std::uint64_t number);
  // Takes as many starts as the link has room for.
  void TakeFrom(urgency of, core::monotonic_time now,
                std::vector<start_order>& taken);
  void RecordSent(std::uint64_t number, sent_start start);
  void Release(sent_starts::iterator start);
  void ReleaseCarried(core::monotonic_time now);
  // Returns what a link of nominal speed has carried since starts had room.
  std::size_t BytesMissed(core::monotonic_time now) const;
  // Returns when the unanswered start is taken to have left the link.
  core::monotonic_time LeavesLink(const sent_starts::value_type& start) const;

  start_queue_options options_;
  // Limits in bytes; empty if the speed of the link is unknown.
  std::optional<std::size_t> max_in_flight_;
  std::optional<std::size_t> max_backlog_;
  // By urgency.
  std::array<lane, kUrgencies> lanes_;
  // By the number of the order.
  sent_starts in_flight_;
  std::size_t bytes_in_flight_ = 0;
  // When the starts that wait would have had room.
  std::optional<core::monotonic_time> next_room_;
  // What may be in flight beyond the limit of one urgency until the next call
  // of `Take`, which is likely to be late as well.
  std::size_t bytes_ahead_ = 0;
  // Unanswered starts that have left the link.
  unread_responses unread_;
  // When a link of nominal speed has carried all starts in flight.
  core::monotonic_time all_carried_{};
  std::optional<std::size_t> max_per_executor_;
  std::map<std::string, executor_starts> by_executor_;
  // Executors of the unanswered starts by the number of the order.
  std::map<std::uint64_t, std::string> unanswered_;
  std::uint64_t last_number_ = 0;
  // Highest number of a start that an executor responded to, and when one last
  // responded.
  std::uint64_t last_answered_ = 0;
  core::monotonic_time last_response_{};
  std::size_t backlog_bytes_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_START_QUEUE_H_
