// Follows the leader key in the store: one read, then watches.
#ifndef WAXWINGFRONT_FLEET_LEADER_KEY_FOLLOWER_H_
#define WAXWINGFRONT_FLEET_LEADER_KEY_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::fleet {

struct leader_key_follower_options {
  // Longest duration of one watch call, so that a silent connection is
  // detected.
  core::milliseconds watch_timeout{2000};
  core::milliseconds retry{150};
};

// Nothing is called after `on_vacant` or `on_held` until `Read` or `Watch`.
struct leader_key_follower_hooks {
  // The key does not exist at `revision` of the store.
  std::function<void(std::int64_t revision)> on_vacant;
  // The key was last written at `revision`.
  std::function<void(const std::string& value, std::int64_t revision)> on_held;
  // The key was written at `revision` and has changed again since. Optional.
  std::function<void(const std::string& value, std::int64_t revision)> on_past;
  // The store has responded.
  std::function<void()> on_response;
};

class leader_key_follower {
 public:
  leader_key_follower(net::event_loop& loop, const store_services& store,
                      leader_key_follower_options options,
                      leader_key_follower_hooks hooks);
  leader_key_follower(const leader_key_follower&) = delete;
  leader_key_follower& operator=(const leader_key_follower&) = delete;
  ~leader_key_follower();

  // Each of these ends the call in flight, whose response is ignored.
  void Read();
  void ReadLater();
  // Waits for the next change after the last response.
  void Watch();
  // Waits for the next change after `revision`.
  void WatchAfter(std::int64_t revision);
  void Pause();

  // True while a read is in flight.
  bool Reading() const;

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEADER_KEY_FOLLOWER_H_
