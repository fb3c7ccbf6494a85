// Loopback TCP proxy that delays, silences, resets and refuses connections.
#ifndef WAXWINGFRONT_TESTS_SOAK_FAULT_PROXY_H_
#define WAXWINGFRONT_TESTS_SOAK_FAULT_PROXY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "soak/link_rate.h"

namespace waxwingfront::soak {

// Applies to open connections and to new ones.
struct link_fault {
  std::chrono::milliseconds delay{0};
  // Bytes and ends of a silent direction are held back; the bytes are lost if
  // the connection is reset.
  bool silent_to_target = false;
  bool silent_to_client = false;
  // Only new connections are refused.
  bool refuse = false;
};

// Changes the bytes that pass; what is replaced must not be split across reads.
struct link_rewriting {
  std::function<void(std::string&)> to_target = [](std::string&) {};
  std::function<void(std::string&)> to_client = [](std::string&) {};
};

// Returns the link of the machine that opened a connection, by the ports of its
// client and of the proxy, or null. The link outlives the proxy.
using link_finder = std::function<machine_link*(std::uint16_t client_port,
                                                std::uint16_t proxy_port)>;

// One thread serves all connections. Calls take effect before they return.
class fault_proxy {
 public:
  // `target_address` is "127.0.0.1:PORT". Throws boost::system::system_error if
  // the proxy cannot listen.
  explicit fault_proxy(std::string target_address);
  fault_proxy(std::string target_address, link_rewriting rewriting);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  // Resets all connections.
  ~fault_proxy();

  // Returns "127.0.0.1:PORT", where the proxy listens.
  const std::string& Address() const { return address_; }
  void Set(link_fault fault);
  // Applies to new connections; `find` is called on the thread of the proxy.
  void SetMachines(link_finder find);
  // Resets the open connections at both ends.
  void ResetAll();
  // Nothing passes on the open connections any more, not even their end.
  void FreezeOpen();
  std::size_t OpenCount();

 private:
  struct internal;

  // Runs `action` on the thread of the proxy.
  void Run(const std::function<void()>& action);

  std::unique_ptr<internal> internal_;
  std::string address_;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_FAULT_PROXY_H_
