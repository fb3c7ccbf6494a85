// A process that takes part in elections at a fake store.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_CANDIDATE_H_
#define WAXWINGFRONT_TESTS_SUPPORT_CANDIDATE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "support/fake_store.h"
#include "waxwingfront/fleet/leadership.h"

namespace waxwingfront::tests {

struct candidate {
  candidate(net::event_loop& loop, fake_store& shared,
            const std::string& address,
            core::milliseconds added_delay = core::milliseconds(0))
      : store(shared.Services()),
        election(loop, store,
                 {.address = address,
                  .nonce = address,
                  .lease = core::milliseconds(300),
                  .renewal = {.interval = core::milliseconds(80),
                              .hedge_delay = core::milliseconds(40),
                              .retry = core::milliseconds(30),
                              .margin = core::milliseconds(20)},
                  .follower = {.watch_timeout = core::milliseconds(200),
                               .retry = core::milliseconds(30)},
                  .claim_jitter = core::milliseconds(0),
                  .recheck_interval = core::milliseconds(30)},
                 {.on_elected = [this](std::int64_t,
                                       core::monotonic_time) { ++elected; },
                  .on_deposed = [this](std::string_view) { ++deposed; },
                  .on_leader_change = [](const std::string&) {},
                  .boot_time_ms = [this] { return clock_ms(); },
                  .random = [this](std::int64_t) { return jitter; },
                  .claim_delay =
                      [added_delay](core::milliseconds chosen) {
                        return chosen + added_delay;
                      }}) {
    const auto grant = store.grant_lease;
    store.grant_lease = [this, grant](core::milliseconds ttl, auto done) {
      ++leases;
      grant(ttl, done);
    };
    election.Start();
  }

  static std::int64_t SteadyMs() {
    return std::chrono::duration_cast<core::milliseconds>(
               core::Now().time_since_epoch())
        .count();
  }

  std::function<std::int64_t()> clock_ms = SteadyMs;
  // Milliseconds.
  std::int64_t jitter = 0;
  int elected = 0;
  int deposed = 0;
  int leases = 0;
  fleet::store_services store;
  fleet::leadership election;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_CANDIDATE_H_
