// A process that takes part in elections with announcements, at a fake store.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_FLEET_PROCESS_H_
#define WAXWINGFRONT_TESTS_SUPPORT_FLEET_PROCESS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "support/fake_store.h"
#include "waxwingfront/fleet/fleet_node.h"
#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::tests {

// Strengths of a small and a large machine.
inline constexpr std::int64_t kWeak = 69'000;
inline constexpr std::int64_t kStrong = 500'000;

struct fleet_process {
  fleet_process(net::event_loop& loop, fake_store& shared,
                std::int64_t strength)
      : fleet_process(loop, shared, Options(strength)) {}

  fleet_process(net::event_loop& loop, fake_store& shared,
                fleet::fleet_node_options options)
      : client(loop, {}),
        store(shared.Services()),
        node(loop, client, store, executors, std::move(options), log) {
    started = node.Start().has_value();
  }

  static fleet::fleet_node_options Options(std::int64_t strength) {
    fleet::fleet_node_options options;
    options.internal_address = "127.0.0.1:0";
    options.strength = strength;
    options.leadership.claim_jitter = core::milliseconds(10);
    options.announcer.period = core::milliseconds(200);
    return options;
  }

  // Returns how often this process has logged `event`.
  std::int64_t Events(const std::string& event) {
    const std::string text = node.Metrics().Text();
    const std::string line =
        "waxwingfront_events_total{event=\"" + event + "\"} ";
    const std::size_t at = text.find(line);
    return at == std::string::npos ? 0
                                   : std::stoll(text.substr(at + line.size()));
  }
  std::int64_t Elections() { return Events("leader_elected"); }

  bool Leads(fake_store& shared) const {
    const std::string leader = shared.Value(std::string(fleet::kLeaderKey));
    return !leader.empty() &&
           leader.substr(0, leader.find(' ')) == node.Address();
  }

  net::async_http_client client;
  fleet::store_services store;
  fleet::executor_services executors;
  logging::event_log log{{}};
  fleet::fleet_node node;
  bool started = false;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_FLEET_PROCESS_H_
