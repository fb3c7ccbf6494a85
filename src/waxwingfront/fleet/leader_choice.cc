#include "waxwingfront/fleet/leader_choice.h"

#include <algorithm>
#include <cmath>

namespace waxwingfront::fleet {
namespace {

// What the leader of a large fleet needs.
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
  if (strength > 0) strongest_ = strength;
}

void leader_choice::OnStanding(const std::string& address,
                               const member_standing& standing,
                               core::monotonic_time asked) {
  const auto [entry, first] =
      answers_.try_emplace(address, answer{.standing = standing, .at = asked});
  if (!first && entry->second.at <= asked) {
    entry->second = {.standing = standing, .at = asked};
  }
}

void leader_choice::OnHandover(const std::string& successor,
                               core::monotonic_time now) {
  successor_ = successor;
  handed_over_ = now;
  const auto [entry, first] = handovers_.try_emplace(
      successor, handover{.at = now, .pause = options_.first_pause});
  if (first) return;
  handover& last = entry->second;
  const bool lasted = now - last.at >= last.pause + options_.longest_pause;
  last.pause = lasted ? options_.first_pause
                      : std::min(last.pause * 2, options_.longest_pause);
  last.at = now;
}

core::milliseconds leader_choice::ClaimWait(core::milliseconds spread,
                                            core::monotonic_time now) const {
  if (!successor_.empty() && now - handed_over_ < options_.claim_time) {
    return successor_ == options_.address ? core::milliseconds(0)
                                          : spread + options_.longest_delay;
  }
  const std::int64_t ready = StrongestReady(now);
  const std::int64_t strongest = ready > 0 ? ready : strongest_;
  if (options_.strength <= 0 || options_.strength >= strongest) {
    return spread;
  }
  const double missing = 1.0 - static_cast<double>(options_.strength) /
                                   static_cast<double>(strongest);
  return spread +
         core::milliseconds(std::llround(
             static_cast<double>(options_.longest_delay.count()) * missing));
}

std::int64_t leader_choice::StrongestReady(core::monotonic_time now) const {
  std::int64_t strongest = 0;
  for (const auto& [address, last] : answers_) {
    if (Ready(last, now)) {
      strongest = std::max(strongest, last.standing.strength);
    }
  }
  return strongest;
}

std::optional<std::string> leader_choice::Successor(
    core::monotonic_time now) const {
  if (options_.strength <= 0) return std::nullopt;
  if (!successor_.empty() && now - handed_over_ < options_.between) {
    return std::nullopt;
  }
  std::optional<std::string> successor;
  auto strongest =
      static_cast<std::int64_t>(std::ceil(
          static_cast<double>(options_.strength) * options_.markedly)) -
      1;
  for (const auto& [address, last] : answers_) {
    if (!Ready(last, now) || last.standing.strength <= strongest) continue;
    const auto before = handovers_.find(address);
    if (before != handovers_.end() &&
        now - before->second.at < before->second.pause) {
      continue;
    }
    strongest = last.standing.strength;
    successor = address;
  }
  return successor;
}

bool leader_choice::Ready(const answer& last, core::monotonic_time now) const {
  return last.standing.ready && now - last.at <= options_.answer_age;
}

}  // namespace waxwingfront::fleet
