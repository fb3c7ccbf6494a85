#include "waxwingfront/fleet/executor_connections.h"

#include <algorithm>

namespace waxwingfront::fleet {
namespace {

// Leaders whose connections an executor can keep open beside those of the
// present one.
constexpr std::size_t kLostLeaders = 24;
constexpr std::size_t kMinConnections = 2;
constexpr std::size_t kMaxConnections = 8;

}  // namespace

std::size_t ConnectionsPerExecutor(const std::optional<manifest>& current) {
  std::size_t connections = kMaxConnections;
  if (!current) return connections;
  for (const service_spec& service : current->services) {
    if (service.max_connections == 0) continue;
    connections =
        std::min(connections, service.max_connections / (kLostLeaders + 1));
  }
  return std::max(connections, kMinConnections);
}

std::optional<std::size_t> OrdersAtOnce(const manifest& current) {
  const bool stated = std::ranges::any_of(
      current.services,
      [](const service_spec& service) { return service.max_connections > 0; });
  if (!stated) return std::nullopt;
  return ConnectionsPerExecutor(current) - 1;
}

}  // namespace waxwingfront::fleet
