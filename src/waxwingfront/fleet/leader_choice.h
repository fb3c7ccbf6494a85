// Which process should lead: the one whose machine bears the most. Decides how
// long this process waits before it claims, and to whom it hands over.
#ifndef WAXWINGFRONT_FLEET_LEADER_CHOICE_H_
#define WAXWINGFRONT_FLEET_LEADER_CHOICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

// What a machine gives this process; 0 where it is not known.
struct machine_limits {
  double cores = 0.0;
  double link_mbps = 0.0;
};

// The scarcer of both limits, in millionths of what the leader of a large
// fleet needs; 0 if a limit is not known.
std::int64_t StrengthOf(const machine_limits& limits);

// What a process says of itself when the leader announces itself to it.
struct member_standing {
  // 0: not known, as of processes of earlier versions.
  std::int64_t strength = 0;
  // It follows the store, has a manifest and is not ending.
  bool ready = false;
};

struct leader_choice_options {
  std::string address;
  std::int64_t strength = 0;
  // Added to the wait before a claim of a process without any strength beside
  // the strongest, in proportion for the others.
  core::milliseconds longest_delay{400};
  // A leader hands over to a process at least this many times as strong.
  double markedly = 1.5;
  // Older answers say nothing: two announcements were missed.
  core::milliseconds answer_age{2500};
  // A process that was handed leadership has this long to claim it.
  core::milliseconds claim_time{1000};
  // Between two hand-overs: a process that lost the store has said so by then.
  core::milliseconds between{3000};
  // After a hand-over there is none to the same process for `first_pause`,
  // twice that after the next, and so on up to `longest_pause`.
  core::milliseconds first_pause{5000};
  core::milliseconds longest_pause{80'000};
};

class leader_choice {
 public:
  explicit leader_choice(leader_choice_options options)
      : options_(std::move(options)) {}

  // The strongest other process, as records or the leader tell; 0: not known.
  void OnStrongest(std::int64_t strength);
  // A process answered an announcement that this one sent at `asked`.
  void OnStanding(const std::string& address, const member_standing& standing,
                  core::monotonic_time asked);
  // A leader, this one or another, hands over to the process at `successor`.
  void OnHandover(const std::string& successor, core::monotonic_time now);

  // What this process waits before it claims a free leadership: its part of
  // the random spread if no stronger one is known, and nothing if it is named.
  core::milliseconds ClaimWait(core::milliseconds spread,
                               core::monotonic_time now) const;
  // Strength of the strongest process that answered lately and is ready; 0 if
  // there is none.
  std::int64_t StrongestReady(core::monotonic_time now) const;
  // To whom this process hands over if it leads.
  std::optional<std::string> Successor(core::monotonic_time now) const;

 private:
  struct answer {
    member_standing standing;
    // When it was asked for.
    core::monotonic_time at;
  };
  struct handover {
    core::monotonic_time at;
    core::milliseconds pause;
  };

  bool Ready(const answer& last, core::monotonic_time now) const;

  leader_choice_options options_;
  std::int64_t strongest_ = 0;
  // By address.
  std::map<std::string, answer> answers_;
  std::map<std::string, handover> handovers_;
  std::string successor_;
  core::monotonic_time handed_over_{};
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEADER_CHOICE_H_
