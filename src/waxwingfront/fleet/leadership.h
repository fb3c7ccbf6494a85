// Leader election: watches the leader key in the store, claims it when it is
// free, and renews its lease while this process leads.
#ifndef WAXWINGFRONT_FLEET_LEADERSHIP_H_
#define WAXWINGFRONT_FLEET_LEADERSHIP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/leader_key_follower.h"
#include "waxwingfront/fleet/lease_renewal.h"
#include "waxwingfront/fleet/load_stage.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct leadership_options {
  // Address at which other processes reach this one.
  std::string address;
  // Unique for each start of a process.
  std::string nonce;
  // Strength of this machine, see `StrengthOf`; 0 if unknown.
  std::int64_t strength = 0;
  // Store lease of the leader key, which bounds the time without a leader after
  // the leader fails. Twice the platform's usual minimum would lengthen each
  // takeover.
  core::milliseconds lease{1500};
  lease_renewal_options renewal;
  leader_key_follower_options follower;
  // Additional time allowed for the response to a watch.
  core::milliseconds watch_slack{500};
  // Upper bound of the random delay before a claim, so that not all processes
  // claim at once.
  core::milliseconds claim_jitter{80};
  // Minimum time between two reads of the key on request.
  core::milliseconds recheck_interval{150};
};

struct leadership_hooks {
  // This process became the leader. `token` is larger than any earlier
  // leader's.
  std::function<void(std::int64_t token, core::monotonic_time claimed)>
      on_elected;
  // This process no longer leads.
  std::function<void(std::string_view reason)> on_deposed;
  // The known leader changed; the address is empty if there is none.
  std::function<void(const std::string& address)> on_leader_change;
  // Returns milliseconds on a clock that includes time suspended.
  std::function<std::int64_t()> boot_time_ms;
  // Optional.
  stage_hook on_stage;
  // Returns a uniform random number in [0, limit).
  std::function<std::int64_t(std::int64_t limit)> random;
  // Returns the delay before a claim, given the random jitter. The delay is the
  // jitter alone if this hook is not set.
  std::function<core::milliseconds(core::milliseconds jitter)> claim_delay;
  // Optional; another process has handed over to the one at `successor`.
  std::function<void(const std::string& successor)> on_reserved;
  // Optional; this process claims leadership after `delay`.
  std::function<void(core::milliseconds delay)> on_claim;
};

class leadership {
 public:
  leadership(net::event_loop& loop, const store_services& store,
             leadership_options options, leadership_hooks hooks);
  leadership(const leadership&) = delete;
  leadership& operator=(const leadership&) = delete;
  ~leadership();

  void Start();

  // True if this process leads and its lease is valid now, so that it may send
  // orders to executors.
  bool MayOrder() const;
  bool Leading() const;
  // Fencing token: the revision of the leader key, which each write of the
  // leader requires.
  std::int64_t Token() const;
  // Internal address of the leader; empty if unknown.
  const std::string& Leader() const;
  // Token of the latest known leader, or a larger one if nobody leads.
  std::int64_t LatestToken() const;
  // Strength of the other process that leads; 0 if unknown.
  std::int64_t LeaderStrength() const;

  // This process is ready to serve as the leader. Returns for how long it has
  // seen no leader that was; empty if it was ready before.
  std::optional<std::chrono::steady_clock::duration> OnReady();
  // Handles a write conflict or an executor's refusal which shows that another
  // process leads.
  void OnSuperseded(std::string_view reason);
  // Handles the announcement of a process that leads with `token`.
  void OnAnnouncement(std::int64_t token, const std::string& address);
  // Reads the leader key again after a call to the known leader failed.
  void RecheckLeader();
  // Gives up leadership for good; keeps watching the leader key.
  void Resign();
  // Gives up leadership and reserves the leader key for the process at
  // `successor` in one transaction. Until that process claims or declines it or
  // the lease of this process would have ended, no other process claims it.
  void HandOver(const std::string& successor);

  // True if this process has not resigned and the store has responded recently
  // and since this process was last deposed.
  bool EligibleToLead() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEADERSHIP_H_
