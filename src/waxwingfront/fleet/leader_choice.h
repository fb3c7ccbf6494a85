// Prefers the process on the machine with the most resources as the leader:
// computes the delay before this process claims leadership, and selects the
// process to which it hands leadership over.
#ifndef WAXWINGFRONT_FLEET_LEADER_CHOICE_H_
#define WAXWINGFRONT_FLEET_LEADER_CHOICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::fleet {

// Resource limits of this process; 0 where unknown.
struct machine_limits {
  double cores = 0.0;
  double link_mbps = 0.0;
};

// Returns the scarcer of both limits, in millionths of what the leader of a
// large fleet needs, or 0 if a limit is unknown.
std::int64_t StrengthOf(const machine_limits& limits);

// Status that a process returns to an announcement of the leader.
struct member_status {
  // 0 if unknown, as for processes of earlier versions.
  std::int64_t strength = 0;
  // The process is eligible to lead, has a manifest and is not shutting down.
  bool ready = false;
};

struct leader_choice_options {
  std::string address;
  std::int64_t strength = 0;
  // Additional delay before a claim of a process whose strength is negligible
  // compared with the strongest; smaller in proportion for stronger processes.
  core::milliseconds max_claim_delay{400};
  // A leader hands over only to a process at least this many times as strong.
  double min_strength_ratio = 1.5;
  // Older statuses are ignored, since two announcements went unanswered.
  core::milliseconds max_status_age{2500};
  // Time that the successor has to claim leadership after a hand-over.
  core::milliseconds successor_claim_timeout{1000};
  // Minimum time between two hand-overs, by which a process that lost its
  // connection to the store has reported it. Hand-overs of other leaders whose
  // successor has led do not count. Doubles, up to `max_request_backoff`, with
  // each further hand-over to whomever whose successor has not led.
  core::milliseconds min_handover_interval{3000};
  // Exponential backoff of hand-overs to the same process: `initial_backoff`
  // after the first, twice that after the next, up to `max_backoff`. It starts
  // again once the process has led for the whole backoff.
  core::milliseconds initial_backoff{5000};
  core::milliseconds max_backoff{80'000};
  // Upper bound of the backoff for a process that has asked for leadership
  // through the store since the last hand-over to it.
  core::milliseconds max_request_backoff{10'000};
  // Older requests are ignored, since the process should have asked again.
  core::milliseconds max_request_age{5000};
};

struct status_counts {
  std::int64_t recent = 0;
  std::int64_t ready = 0;
};

class leader_choice {
 public:
  explicit leader_choice(leader_choice_options options)
      : options_(std::move(options)) {}

  // Handles the strength of another process, as reported by store records or
  // the leader; 0 if unknown. Smaller ones than before do not count: a weak
  // leader may not hear from the strong processes.
  void OnStrongest(std::int64_t strength);
  // The strengths of other processes could not be read yet.
  void OnStrengthsUnknown() { strengths_unknown_ = true; }
  // Handles the largest strength that other processes have registered; empty if
  // it could not be read yet.
  void OnRegistered(std::optional<std::int64_t> strength);
  // Handles the status that a process returned to an announcement which this
  // process sent at `sent`.
  void OnMemberStatus(const std::string& address, const member_status& status,
                      core::monotonic_time sent);
  // Handles that the process at `address` asked for leadership through the
  // store: it is ready, and the store serves it.
  void OnRequest(const std::string& address, std::int64_t strength,
                 core::monotonic_time now);
  // Handles the hand-over of this leader to the process at `successor`.
  void OnHandover(const std::string& successor, core::monotonic_time now);
  // The same for the hand-over of another leader.
  void OnOtherHandover(const std::string& successor, core::monotonic_time now);
  // Handles that the process at `address` leads. If it is the last successor,
  // it has no claim to the next vacancy. Once it has led for the whole backoff
  // since the last hand-over to it, that hand-over succeeded and no longer
  // counts.
  void OnLeading(const std::string& address, core::monotonic_time now);

  // Returns the delay before this process claims free leadership: zero if it is
  // the named successor, `jitter` if no stronger process is known.
  core::milliseconds ClaimDelay(core::milliseconds jitter,
                                core::monotonic_time now) const;
  // Returns the strength of the strongest ready process with a recent status,
  // or 0 if there is none.
  std::int64_t StrongestReady(core::monotonic_time now) const;
  // Returns the strength by which `ClaimDelay` goes; 0 if unknown.
  std::int64_t StrongestKnown() const { return strongest_; }
  // Returns how many processes have a recent status, and how many of these are
  // ready.
  status_counts CountStatuses(core::monotonic_time now) const;
  // True if this process is strong enough for a leader of `strength` to hand
  // over to it.
  bool ShouldReplace(std::int64_t strength) const;
  // True if a process that is strong enough to be handed over to is known,
  // whether or not it is ready.
  bool IsWeak() const;
  // Returns the address of the process to which this one hands over if it
  // leads.
  std::optional<std::string> Successor(core::monotonic_time now) const;
  // Returns the same if that process has asked for leadership recently, so that
  // a request that came too early for a hand-over is not lost.
  std::optional<std::string> SuccessorOnRequest(core::monotonic_time now) const;

 private:
  struct status_report {
    member_status status;
    // When the announcement was sent.
    core::monotonic_time at;
    // When the process last asked for leadership.
    std::optional<core::monotonic_time> requested;
  };
  struct handover {
    core::monotonic_time at;
    core::milliseconds backoff;
  };

  void NoteHandover(const std::string& successor, core::monotonic_time now);
  // Returns the minimum time between the last hand-over and the next one.
  core::milliseconds HandoverInterval() const;
  bool Requested(const status_report& last, core::monotonic_time now) const;
  bool BacksOff(const std::string& address, const status_report& last,
                core::monotonic_time now) const;
  bool Ready(const status_report& last, core::monotonic_time now) const;
  // Smallest strength of a process to which one of strength `leader` hands
  // over.
  std::int64_t MinSuccessorStrength(std::int64_t leader) const;

  leader_choice_options options_;
  // No strength has been reported, although there may be some.
  bool strengths_unknown_ = false;
  // Largest strength that was ever reported.
  std::int64_t strongest_ = 0;
  // By address.
  std::map<std::string, status_report> reports_;
  std::map<std::string, handover> handovers_;
  // Of the last hand-over.
  std::string successor_;
  core::monotonic_time handed_over_{};
  bool successor_led_ = false;
  // Consecutive hand-overs before it whose successors have not led.
  int unclaimed_ = 0;
  std::optional<core::monotonic_time> own_handover_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEADER_CHOICE_H_
