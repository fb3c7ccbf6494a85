// Which process leads: follows the leader's key in the store, claims it when it
// is free, and keeps it while this process leads.
#ifndef WAXWINGFRONT_FLEET_LEADERSHIP_H_
#define WAXWINGFRONT_FLEET_LEADERSHIP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/load_monitor.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct leadership_options {
  // Where other processes reach this one.
  std::string address;
  // Differs for each start of a process.
  std::string nonce;
  // Store lease of the leader: the time without a leader after it dies. Twice
  // the usual minimum of the platform would lengthen each take-over.
  core::milliseconds lease{1500};
  core::milliseconds renew_every{400};
  // A renewal without an answer for this long is joined by another one.
  core::milliseconds renewal_late{200};
  int max_renewals = 3;
  // Part of the lease that is given up for rounding and clock drift.
  core::milliseconds lease_margin{100};
  // Longest wait of one watch call, so that a silent connection is found.
  core::milliseconds watch{2000};
  // A watch's answer may take this much longer.
  core::milliseconds watch_slack{500};
  // Processes wait up to this long before they claim, so that not all do.
  core::milliseconds claim_spread{80};
  core::milliseconds retry{150};
};

struct leadership_hooks {
  // This process leads; `token` is larger than any earlier leader's.
  std::function<void(std::int64_t token, core::monotonic_time claimed)>
      on_elected;
  // It no longer does.
  std::function<void(std::string_view reason)> on_deposed;
  // Another process leads; empty address: nobody.
  std::function<void(const std::string& address)> on_leader;
  // Milliseconds on a clock that also counts suspensions of the machine.
  std::function<std::int64_t()> boot_time_ms;
  // May be empty.
  stage_hook on_stage;
  // Uniform number below `limit`.
  std::function<std::int64_t(std::int64_t limit)> random;
  // Wait before a claim, given this process's part of the spread, which is the
  // wait if this is not set.
  std::function<core::milliseconds(core::milliseconds spread)> claim_wait;
};

class leadership {
 public:
  leadership(net::event_loop& loop, const store_services& store,
             leadership_options options, leadership_hooks hooks);
  leadership(const leadership&) = delete;
  leadership& operator=(const leadership&) = delete;
  ~leadership();

  void Start();

  // Whether orders may be sent at this moment.
  bool MayOrder() const;
  bool Leading() const;
  // Revision of the leader's key, expected by each of the leader's writes.
  std::int64_t Token() const;
  // Internal address of the leader; empty if it is not known.
  const std::string& Leader() const;

  // A write or an executor showed that another process leads.
  void Deposed(std::string_view reason);
  // A process announces that it leads with `token`.
  void Hear(std::int64_t token, const std::string& address);
  // A call to the known leader failed: looks its key up again.
  void Doubt();
  // Gives leadership up and does not claim it again; still follows the leader.
  void Resign();
  // Orders nothing more, so that another process can lead. The key stays until
  // `Release` or the end of its lease.
  void HandOver();
  // Lets others claim what was handed over.
  void Release();

  // The store has answered lately, and since this process last led.
  bool FollowsStore() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEADERSHIP_H_
