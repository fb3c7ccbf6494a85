#include "soak/machine_links.h"

#include <algorithm>
#include <array>
#include <random>

namespace waxwingfront::soak {
namespace {

constexpr double kFastMbps = 1000;
constexpr double kBytesPerMbit = 1e6 / 8;

struct load {
  double mbps;
  // A spec has 4,000 bytes at most.
  std::size_t payload_bytes;
};

// The starts of what callers submit fill the slower ones.
constexpr std::array<load, 4> kLoads = {
    {{2, 500}, {2, 1800}, {2, 3800}, {10, 3800}}};

// Apart from the other faults.
constexpr std::uint64_t kSeedOffset = 3;

std::string About(const link_rate& one) {
  constexpr std::uint64_t kKilobyte = 1000;
  return std::to_string(one.Carried() / kKilobyte) + " kB (at most " +
         std::to_string(
             std::chrono::duration_cast<milliseconds>(one.LongestTime())
                 .count()) +
         " ms late)";
}

bool HasSlowLinks(std::uint64_t seed) {
  constexpr std::uint64_t kPeriod = 8;
  return seed % kPeriod == 0 || seed % kPeriod == 5 || seed % kPeriod == 7;
}

}  // namespace

link_plan PlanLinks(std::uint64_t seed, std::size_t processes) {
  link_plan plan{.mbps = std::vector<double>(processes, kFastMbps)};
  if (!HasSlowLinks(seed)) return plan;
  std::mt19937_64 random(seed + kSeedOffset);
  const auto draw = [&random](std::size_t below) {
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
  };
  const load& one = kLoads[draw(kLoads.size())];
  plan.payload_bytes = one.payload_bytes;
  const bool all = draw(2) == 0;
  const std::size_t fast = draw(processes);
  for (std::size_t i = 0; i < processes; ++i) {
    const double mbps = draw(2) == 0 ? one.mbps : 2 * one.mbps;
    if (all || i != fast) plan.mbps[i] = mbps;
  }
  return plan;
}

machine_links::machine_links(const link_plan& plan) {
  for (const double mbps : plan.mbps) {
    links_.push_back(mbps < kFastMbps
                         ? std::make_unique<machine_link>(mbps * kBytesPerMbit)
                         : nullptr);
  }
}

std::string machine_links::StoreAddress(std::size_t process,
                                        const std::string& address) {
  machine_link* const own = links_.at(process).get();
  if (own == nullptr) return address;
  auto* const proxy = new fault_proxy(address);
  proxy->SetMachines([own](std::uint16_t, std::uint16_t) { return own; });
  return proxy->Address();
}

void machine_links::Limit(fault_proxy& proxy, const site& processes) {
  const bool any = std::ranges::any_of(
      links_, [](const auto& one) { return one != nullptr; });
  if (!any) return;
  proxy.SetMachines(
      [this, &processes](std::uint16_t client_port, std::uint16_t proxy_port) {
        const auto opener = processes.OpenerOf(client_port, proxy_port);
        ++opened_;
        if (!opener) ++unknown_;
        return opener ? links_.at(*opener).get() : nullptr;
      });
}

std::string machine_links::Summary() const {
  std::string text;
  for (std::size_t i = 0; i < links_.size(); ++i) {
    if (links_[i] == nullptr) continue;
    text += "; slow link of process " + std::to_string(i + 1) + ": " +
            About(links_[i]->to_target) + " out, " +
            About(links_[i]->to_client) + " in";
  }
  if (!text.empty()) {
    text += "; " + std::to_string(opened_) + " connections, " +
            std::to_string(unknown_) + " of unknown openers";
  }
  return text;
}

}  // namespace waxwingfront::soak
