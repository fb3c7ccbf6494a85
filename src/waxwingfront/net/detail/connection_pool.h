// Connections of `async_http_client` by address: idle ones, and limits on all.
#ifndef WAXWINGFRONT_NET_DETAIL_CONNECTION_POOL_H_
#define WAXWINGFRONT_NET_DETAIL_CONNECTION_POOL_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/net/detail/client_connection.h"

namespace waxwingfront::net::detail {

struct connection_pool_options {
  // Idle connections kept for each address.
  std::size_t max_idle_per_address = 0;
  // Connections that were idle for longer are not reused.
  core::milliseconds max_idle_time{0};
};

class connection_pool {
 public:
  explicit connection_pool(connection_pool_options options)
      : options_(options) {}

  // Returns null if there is no idle connection to the address.
  client_connection_ptr TakeIdle(const std::string& address);
  // Keeps the connection for another call, unless enough are kept.
  void KeepIdle(client_connection_ptr link, core::monotonic_time now);
  void CloseIdle(const std::string& address) { idle_.erase(address); }
  // Closes all connections that were idle for too long.
  void CloseOutdated(core::monotonic_time now);
  bool HasIdle() const { return !idle_.empty(); }
  std::size_t CountIdle() const;

  // Makes the new connection count for `CountOpen`.
  void Track(const client_connection_ptr& link);
  // Returns the number of open connections to the address that were tracked,
  // whether idle or not.
  std::size_t CountOpen(const std::string& address);
  // Returns how many of these are idle or carry a call that may succeed.
  std::size_t CountUsable(const std::string& address) const;
  // Closes the oldest connection to the address on which only a late response
  // may arrive. Returns false if there is none.
  bool CloseUnanswered(const std::string& address);

 private:
  connection_pool_options options_;
  std::map<std::string, std::vector<client_connection_ptr>> idle_;
  // In the order in which they were opened.
  std::map<std::string, std::vector<std::weak_ptr<client_connection>>> open_;
};

}  // namespace waxwingfront::net::detail

#endif  // WAXWINGFRONT_NET_DETAIL_CONNECTION_POOL_H_
