// Rate limiter and batching policy for the leader's store transactions.
#ifndef WAXWINGFRONT_FLEET_WRITE_PACER_H_
#define WAXWINGFRONT_FLEET_WRITE_PACER_H_

#include <cstddef>
#include <optional>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

struct write_pacer_options {
  // Delay between two transactions in which changes are batched, because each
  // transaction has a cost.
  core::milliseconds batching_delay{20};
  // Delay after a transaction that the store did not execute.
  core::milliseconds retry{100};
  // Transactions in flight. The last slot is reserved for urgent changes, so
  // that they need not wait for another response.
  std::size_t max_in_flight = 4;
  // Transactions per second, a part of the store's limit for all processes.
  double max_per_s = 200.0;
  // Transactions that may start at once after an idle period.
  double max_burst = 20.0;
};

// Changes that are neither persisted nor part of a transaction in flight.
struct pending_changes {
  bool any = false;
  // Callers wait for them: accepted and cancelled jobs, final states.
  bool urgent = false;
  // They fill a transaction, or callers wait and they fill a part of one, so
  // that they justify a transaction of their own.
  bool full = false;
};

// A full transaction starts at once, any other `batching_delay` after the
// previous one. While a transaction is in flight, only full and urgent ones
// start.
class write_pacer {
 public:
  explicit write_pacer(write_pacer_options options) : options_(options) {}

  // Returns the start time of the next transaction, or nothing if there is
  // nothing to write or a response must arrive first.
  std::optional<core::monotonic_time> NextStart(
      const pending_changes& waiting) const;

  void Started(core::monotonic_time now);
  // Handles the end of a transaction. Unless the store executed it
  // (`carried_out`), later ones start after `retry`, one at a time.
  void Finished(bool carried_out, core::monotonic_time now);

 private:
  core::monotonic_time::duration Interval(double transactions) const;

  write_pacer_options options_;
  std::size_t in_flight_ = 0;
  bool store_unavailable_ = false;
  core::monotonic_time next_batch_at_{};
  core::monotonic_time retry_at_{};
  // Theoretical arrival time: when the transactions so far would have ended at
  // the highest rate.
  core::monotonic_time theoretical_arrival_{};
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_WRITE_PACER_H_
