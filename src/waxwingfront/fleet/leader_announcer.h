// Tells the other processes who leads. A process that the store refuses cannot
// read it there.
#ifndef WAXWINGFRONT_FLEET_LEADER_ANNOUNCER_H_
#define WAXWINGFRONT_FLEET_LEADER_ANNOUNCER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/event_loop.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

// Path of announcements between processes; the body is a `fleet_leadership`,
// that of the answer a `fleet_standing`.
inline constexpr std::string_view kAnnouncePath = "/fleet/leader";

struct leader_announcer_options {
  core::milliseconds period{1000};
  // Longest wait of a watch of the members: after it all are read again.
  core::milliseconds refresh{10'000};
  // As long as an answer counts: a full link of the leader delays them, also
  // the connections that they need.
  core::milliseconds timeout{2500};
  core::milliseconds retry{200};
  // Longest wait until all know of a hand-over: nobody leads meanwhile.
  core::milliseconds handover{150};
};

struct leader_announcer_hooks {
  // Strength of the strongest other process that could lead; 0: not known.
  std::function<std::int64_t()> strongest;
  // A process has answered an announcement that was sent at `asked`.
  std::function<void(const std::string& address,
                     const schema::fleet_standing& standing,
                     core::monotonic_time asked)>
      on_answer;
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

  // Enters this process and its strength into the list of members, until the
  // store has it.
  void Join(std::int64_t strength);

  // The largest strength that a process other than this one has entered, or 0.
  // `done` is called once, also if the store does not answer.
  void ReadStrongest(std::function<void(std::int64_t strength)> done);

  // Announces this process as the leader until `Stop`.
  void Start(std::int64_t token);
  void Stop();

  // Tells the members, as they were known last, who claims leadership next.
  // `told` is called once all have answered or the time for it is over.
  void HandOver(const std::string& successor, std::function<void()> told);

 private:
  struct internal;
  std::shared_ptr<internal> internal_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEADER_ANNOUNCER_H_
