// Lets a strong process ask a weak leader for leadership through the store.
//
// A leader whose link is full neither reaches the other processes nor receives
// their answers in time, but it renews its lease, so the store reaches it.
#ifndef WAXWINGFRONT_FLEET_LEADER_CANDIDACY_H_
#define WAXWINGFRONT_FLEET_LEADER_CANDIDACY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct leader_candidacy_options {
  core::milliseconds check_interval{500};
  // How long weak processes may lead, one after the other, before this process
  // asks for leadership, and between two such requests. Longer than a hand-over
  // through announcements takes.
  core::milliseconds patience{5000};
  // Longest duration of one watch call of the leader.
  core::milliseconds watch_timeout{10'000};
  core::milliseconds retry{200};
};

struct leader_candidacy_hooks {
  // True if the leader is another process and markedly weaker than this one.
  // Empty while no leader, or not its strength, is known.
  std::function<std::optional<bool>()> under_weak_leader;
  // True if this process is ready to lead.
  std::function<bool()> ready;
  // While this process leads, the one at `address` has asked for leadership.
  std::function<void(const std::string& address, std::int64_t strength)>
      on_candidate;
};

class leader_candidacy {
 public:
  leader_candidacy(net::event_loop& loop, const store_services& store,
                   std::string address, std::int64_t strength,
                   leader_candidacy_options options,
                   leader_candidacy_hooks hooks);
  leader_candidacy(const leader_candidacy&) = delete;
  leader_candidacy& operator=(const leader_candidacy&) = delete;
  ~leader_candidacy();

  void Start();

  // Watches for candidates until `OnDeposed`. This process leads with `token`.
  void OnElected(std::int64_t token);
  void OnDeposed();

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEADER_CANDIDACY_H_
