// Decides when the next call may be sent to the adviser, and its timeout.
#ifndef WAXWINGFRONT_FLEET_ADVICE_PACER_H_
#define WAXWINGFRONT_FLEET_ADVICE_PACER_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

struct advice_pacer_options {
  // Maximum number of calls in flight. The adviser rejects calls when 32 wait.
  std::size_t max_in_flight = 16;
  // Calls beyond the second are sent only while those in flight take less time
  // than this: they keep the adviser busy until the next ones arrive.
  core::milliseconds max_ahead{100};
  // Part of a ticket's validity that is left for storing and sending starts.
  core::milliseconds validity_margin{400};
  // Added to each timeout: connecting and two ways on a slow link.
  core::milliseconds timeout_slack{1000};
  // Bounds on the timeout in multiples of the time that the calls should take.
  double min_timeout_factor = 2.0;
  double max_timeout_factor = 8.0;
  // Pause after a failed call, doubled with each further one.
  core::milliseconds min_pause{50};
  core::milliseconds max_pause{800};
};

// The adviser handles the calls of one process one after the other, each in the
// time that the manifest states. A call therefore waits for those before it,
// and its timeout has to cover them.
class advice_pacer {
 public:
  explicit advice_pacer(advice_pacer_options options) : options_(options) {}

  // Returns how long the adviser takes for a call.
  static core::milliseconds ServiceTime(const advice_request& request);

  // True if any call may be sent now.
  bool HasRoom(core::monotonic_time now) const;
  // True if the call may be sent now: its tickets would still be usable if they
  // were issued when it is sent.
  bool MaySend(const advice_request& request, core::monotonic_time now) const;

  struct sent_call {
    std::uint64_t number = 0;
    core::milliseconds timeout{0};
  };
  sent_call Sent(const advice_request& request, core::monotonic_time now);

  // Returns since when the call's tickets may have been valid: the earliest
  // time at which the adviser can have begun to handle it or, if that would
  // leave too little of their validity, have responded.
  core::monotonic_time Answered(std::uint64_t number, core::monotonic_time now);
  void Failed(std::uint64_t number, core::monotonic_time now);

 private:
  struct pending_call {
    core::monotonic_time sent;
    core::milliseconds service;
    core::milliseconds valid;
    // Time that it and the calls before it should take.
    core::milliseconds expected;
  };

  advice_pacer_options options_;
  // By number, in the order of sending.
  std::map<std::uint64_t, pending_call> pending_;
  std::uint64_t last_number_ = 0;
  // Sum of the service times of the calls in flight.
  core::milliseconds outstanding_{0};
  // The adviser was busy with earlier calls until this time at least.
  core::monotonic_time served_until_{};
  double timeout_factor_ = 0.0;
  int failures_ = 0;
  core::monotonic_time paused_until_{};
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_ADVICE_PACER_H_
