// Connections and slot accounting of one executor.
#ifndef WAXWINGFRONT_FRONT_UPSTREAM_H_
#define WAXWINGFRONT_FRONT_UPSTREAM_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/front/message.h"
#include "waxwingfront/hosts/host_view.h"

namespace waxwingfront::front {

namespace detail {
class upstream_connection;
}

struct upstream_options {
  hosts::executor_info executor;
  core::milliseconds connect_timeout{500};
  std::size_t max_body_bytes = 1048576;
};

// Thread-safe.
class upstream {
 public:
  explicit upstream(upstream_options options);
  upstream(const upstream&) = delete;
  upstream& operator=(const upstream&) = delete;
  ~upstream();

  const hosts::executor_info& Executor() const { return options_.executor; }

  // Returns the requests of this entry that are in flight.
  int Outstanding() const {
    return outstanding_.load(std::memory_order_relaxed);
  }
  // Returns the slots that belong to this entry.
  int OwnSlots() const { return own_slots_.load(std::memory_order_relaxed); }
  // Returns the slots that this entry may use at `now`. They include the slots
  // of other entries, unless the executor rejected a request recently, and are
  // limited to this entry's share of the executor's connections.
  int UsableSlots(core::monotonic_time now) const;
  // Computes this entry's share of slots and connections from the live entries.
  // Until the first call this entry owns all of them.
  void UpdateShare(std::span<const std::string> entries, std::string_view self);

  // Acquires a slot if fewer than `limit` are in use. Each success must be
  // matched by one `ReleaseSlot`.
  bool TryAcquireSlot(int limit);
  void ReleaseSlot();

  // True if the last attempts failed and the pause after them is not over.
  bool IsSuspect(core::monotonic_time now) const;

  // Sends one request and reads the whole response, until `limit`. Fails with
  // `kNotRun` if no byte was sent, with `kOverloaded` if the executor reports
  // that it did not start the request, and with `kOutcomeUnknown` otherwise.
  core::result<service_reply> Send(const service_request& request,
                                   core::monotonic_time limit);

 private:
  using connection = std::unique_ptr<detail::upstream_connection>;

  core::result<connection> TakeConnection(const service_request& request,
                                          core::monotonic_time limit);
  connection TakeIdle(const service_request& request);
  core::result<service_reply> Exchange(connection link,
                                       const service_request& request,
                                       core::monotonic_time limit);
  void KeepIdle(connection link);
  void DropIdle();
  void RecordOutcome(const core::result<service_reply>& reply);

  upstream_options options_;
  std::atomic<int> outstanding_{0};
  std::atomic<int> own_slots_;
  std::atomic<int> connection_limit_;
  // Time since the clock's epoch until which only own slots are used.
  std::atomic<core::monotonic_time::rep> own_slots_only_until_{0};
  std::atomic<int> consecutive_failures_{0};
  // Time since the clock's epoch until which the executor is avoided.
  std::atomic<core::monotonic_time::rep> suspect_until_{0};
  std::mutex mutex_;
  std::vector<connection> idle_;
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_UPSTREAM_H_
