#include "waxwingfront/fleet/leader_choice.h"

#include <algorithm>
#include <cmath>

namespace waxwingfront::fleet {
namespace {

// Resources that the leader of a large fleet needs.
constexpr double kNeededCores = 1.0;
constexpr double kNeededLinkMbps = 100.0;
constexpr double kMillionths = 1e6;

}  // namespace

std::int64_t StrengthOf(const machine_limits& limits) {
  if (limits.cores <= 0.0 || limits.link_mbps <= 0.0) return 0;
  const double share =
      std::min(limits.cores / kNeededCores, limits.link_mbps / kNeededLinkMbps);
  return std::max<std::int64_t>(std::llround(share * kMillionths), 1);
}

void leader_choice::OnStrongest(std::int64_t strength) {
  strongest_ = std::max(strongest_, strength);
  strengths_unknown_ = false;
}

void leader_choice::OnRegistered(std::optional<std::int64_t> strength) {
  if (!strength) return OnStrengthsUnknown();
  OnStrongest(*strength);
}

void leader_choice::OnMemberStatus(const std::string& address,
                                   const member_status& status,
                                   core::monotonic_time sent) {
  const auto [entry, first] = reports_.try_emplace(
      address,
      status_report{.status = status, .at = sent, .requested = std::nullopt});
  if (!first && entry->second.at <= sent) {
    entry->second.status = status;
    entry->second.at = sent;
  }
  OnStrongest(status.strength);
}

void leader_choice::OnRequest(const std::string& address, std::int64_t strength,
                              core::monotonic_time now) {
  OnMemberStatus(address, {.strength = strength, .ready = true}, now);
  reports_.at(address).requested = now;
}

void leader_choice::OnHandover(const std::string& successor,
                               core::monotonic_time now) {
  NoteHandover(successor, now);
  own_handover_ = now;
}

void leader_choice::OnOtherHandover(const std::string& successor,
                                    core::monotonic_time now) {
  NoteHandover(successor, now);
}

void leader_choice::NoteHandover(const std::string& successor,
                                 core::monotonic_time now) {
  const bool in_series = !successor_.empty() && !successor_led_ &&
                         now - handed_over_ < 2 * options_.max_request_backoff;
  unclaimed_ = in_series ? unclaimed_ + 1 : 0;
  successor_ = successor;
  handed_over_ = now;
  successor_led_ = false;
  const auto [entry, first] = handovers_.try_emplace(
      successor, handover{.at = now, .backoff = options_.initial_backoff});
  if (first) return;
  handover& last = entry->second;
  const bool reset_backoff =
      now - last.at >= last.backoff + options_.max_backoff;
  last.backoff = reset_backoff
                     ? options_.initial_backoff
                     : std::min(last.backoff * 2, options_.max_backoff);
  last.at = now;
}

void leader_choice::OnLeading(const std::string& address,
                              core::monotonic_time now) {
  if (address == successor_) successor_led_ = true;
  const auto last = handovers_.find(address);
  if (last != handovers_.end() &&
      now - last->second.at >= last->second.backoff) {
    handovers_.erase(last);
  }
}

core::milliseconds leader_choice::ClaimDelay(core::milliseconds jitter,
                                             core::monotonic_time now) const {
  if (!successor_.empty() && !successor_led_ &&
      now - handed_over_ < options_.successor_claim_timeout) {
    return successor_ == options_.address ? core::milliseconds(0)
                                          : jitter + options_.max_claim_delay;
  }
  if (strengths_unknown_) return jitter + options_.max_claim_delay;
  if (options_.strength <= 0 || options_.strength >= strongest_) {
    return jitter;
  }
  const double missing = 1.0 - static_cast<double>(options_.strength) /
                                   static_cast<double>(strongest_);
  return jitter +
         core::milliseconds(std::llround(
             static_cast<double>(options_.max_claim_delay.count()) * missing));
}

status_counts leader_choice::CountStatuses(core::monotonic_time now) const {
  status_counts counts;
  for (const auto& [address, last] : reports_) {
    if (now - last.at <= options_.max_status_age) ++counts.recent;
    if (Ready(last, now)) ++counts.ready;
  }
  return counts;
}

bool leader_choice::IsWeak() const {
  return options_.strength > 0 &&
         strongest_ >= MinSuccessorStrength(options_.strength);
}

bool leader_choice::ShouldReplace(std::int64_t strength) const {
  return strength > 0 && options_.strength >= MinSuccessorStrength(strength);
}

std::int64_t leader_choice::MinSuccessorStrength(std::int64_t leader) const {
  return static_cast<std::int64_t>(
      std::ceil(static_cast<double>(leader) * options_.min_strength_ratio));
}

std::int64_t leader_choice::StrongestReady(core::monotonic_time now) const {
  std::int64_t strongest = 0;
  for (const auto& [address, last] : reports_) {
    if (Ready(last, now)) {
      strongest = std::max(strongest, last.status.strength);
    }
  }
  return strongest;
}

core::milliseconds leader_choice::HandoverInterval() const {
  core::milliseconds interval = options_.min_handover_interval;
  for (int i = 0; i < unclaimed_ && interval < options_.max_request_backoff;
       ++i) {
    interval *= 2;
  }
  return std::min(interval, options_.max_request_backoff);
}

std::optional<std::string> leader_choice::Successor(
    core::monotonic_time now) const {
  if (options_.strength <= 0) return std::nullopt;
  if (own_handover_ && now - *own_handover_ < options_.min_handover_interval) {
    return std::nullopt;
  }
  if (!successor_.empty() && !successor_led_ &&
      now - handed_over_ < HandoverInterval()) {
    return std::nullopt;
  }
  std::optional<std::string> successor;
  std::int64_t strongest = MinSuccessorStrength(options_.strength) - 1;
  for (const auto& [address, last] : reports_) {
    if (!Ready(last, now) || last.status.strength <= strongest) continue;
    if (BacksOff(address, last, now)) continue;
    strongest = last.status.strength;
    successor = address;
  }
  return successor;
}

std::optional<std::string> leader_choice::SuccessorOnRequest(
    core::monotonic_time now) const {
  const auto successor = Successor(now);
  if (!successor || !Requested(reports_.at(*successor), now))
    return std::nullopt;
  return successor;
}

bool leader_choice::Ready(const status_report& last,
                          core::monotonic_time now) const {
  return last.status.ready &&
         (now - last.at <= options_.max_status_age || Requested(last, now));
}

bool leader_choice::Requested(const status_report& last,
                              core::monotonic_time now) const {
  return last.requested && now - *last.requested <= options_.max_request_age;
}

bool leader_choice::BacksOff(const std::string& address,
                             const status_report& last,
                             core::monotonic_time now) const {
  const auto found = handovers_.find(address);
  if (found == handovers_.end()) return false;
  const handover& before = found->second;
  const bool asked_since = Requested(last, now) && *last.requested > before.at;
  const core::milliseconds backoff =
      asked_since ? std::min(before.backoff, options_.max_request_backoff)
                  : before.backoff;
  return now - before.at < backoff;
}

}  // namespace waxwingfront::fleet
