// When the leader's next transaction starts.
#ifndef WAXWINGFRONT_FLEET_WRITE_PACER_H_
#define WAXWINGFRONT_FLEET_WRITE_PACER_H_

#include <cstddef>
#include <optional>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct write_pacer_options {
  // Pause between two transactions, which gathers changes: each has a price.
  core::milliseconds pause{20};
  // Pause after a transaction that the store did not carry out.
  core::milliseconds retry{100};
  // Transactions without an answer at a time. The last one is for urgent
  // changes, so that they need not wait for another's answer.
  std::size_t max_in_flight = 4;
  // Transactions a second, of the store's limit for all processes together.
  double max_per_s = 200.0;
  // Transactions that may start at once after a quiet time.
  double max_burst = 20.0;
};

// Changes that the store does not have and that no transaction carries.
struct waiting_changes {
  bool any = false;
  // Somebody waits for them: accepted and cancelled jobs, final states.
  bool urgent = false;
  // They fill a transaction, or somebody waits and they fill a part of one:
  // worth a call of their own.
  bool full = false;
};

// A full transaction starts at once, any other a pause after the one before.
// Beside one that has no answer yet, only full and urgent ones start.
class write_pacer {
 public:
  explicit write_pacer(write_pacer_options options) : options_(options) {}

  // Nothing while there is nothing to write or an answer has to come first.
  std::optional<core::monotonic_time> NextStart(
      const waiting_changes& waiting) const;

  void Started(core::monotonic_time now);
  // `carried_out`: the store answered; otherwise it is asked carefully.
  void Answered(bool carried_out, core::monotonic_time now);

 private:
  core::monotonic_time::duration Interval(double transactions) const;

  write_pacer_options options_;
  std::size_t in_flight_ = 0;
  bool store_lost_ = false;
  core::monotonic_time next_gathered_{};
  core::monotonic_time retry_at_{};
  // When the transactions so far would have ended at the highest rate.
  core::monotonic_time spent_until_{};
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_WRITE_PACER_H_
