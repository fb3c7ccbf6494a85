// Announces the leader to the other processes directly, since a process that
// cannot reach the store cannot read the leader key.
#ifndef WAXWINGFRONT_FLEET_LEADER_ANNOUNCER_H_
#define WAXWINGFRONT_FLEET_LEADER_ANNOUNCER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/event_loop.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

// Path of announcements between processes. The request body is a
// `fleet_leadership`, the response body a `fleet_standing`.
inline constexpr std::string_view kAnnouncePath = "/fleet/leader";

struct leader_announcer_options {
  core::milliseconds period{1000};
  // Longest duration of a watch of the members, after which all are read again.
  core::milliseconds watch_timeout{10'000};
  // Equal to the time that a status remains valid, since a saturated link of
  // the leader delays the responses and the connections that they need.
  core::milliseconds timeout{2500};
  core::milliseconds retry{200};
};

struct leader_announcer_hooks {
  // Returns the strength of the strongest other process that could lead, or 0
  // if unknown.
  std::function<std::int64_t()> strongest;
  // A process returned its status to an announcement sent at `sent`.
  std::function<void(const std::string& address,
                     const schema::fleet_standing& status,
                     core::monotonic_time sent)>
      on_member_status;
  // Optional; this process announces itself to `members` processes now. May
  // call `Stop`.
  std::function<void(std::size_t members)> on_round;
};

class leader_announcer {
 public:
  leader_announcer(net::event_loop& loop, net::async_http_client& client,
                   const store_services& store, std::string address,
                   leader_announcer_options options,
                   leader_announcer_hooks hooks);
  leader_announcer(const leader_announcer&) = delete;
  leader_announcer& operator=(const leader_announcer&) = delete;
  ~leader_announcer();

  // Adds this process and its strength to the list of members in the store;
  // retries until the store has it.
  void Register(std::int64_t strength);

  // Reads the largest strength that another process has registered, or 0, and
  // calls `done` with it once. Until the store responds, calls `done` with
  // nothing after each failed attempt.
  void ReadStrongest(
      std::function<void(std::optional<std::int64_t> strength)> done);

  // Announces this process as the leader until `Stop`.
  void Start(std::int64_t token);
  void Stop();
  // Announces it once more, ahead of the next period; does nothing after
  // `Stop`.
  void AnnounceNow();

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEADER_ANNOUNCER_H_
