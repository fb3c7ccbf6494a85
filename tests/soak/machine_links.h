// Slow links of the machines that the processes run on, drawn from a seed.
#ifndef WAXWINGFRONT_TESTS_SOAK_MACHINE_LINKS_H_
#define WAXWINGFRONT_TESTS_SOAK_MACHINE_LINKS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "soak/fault_proxy.h"
#include "soak/link_rate.h"
#include "soak/site.h"

namespace waxwingfront::soak {

struct link_plan {
  // One a process.
  std::vector<double> mbps;
  // What a job's spec carries beside its orders.
  std::size_t payload_bytes = 0;
};

// Three seeds in eight have slow links.
link_plan PlanLinks(std::uint64_t seed, std::size_t processes);

// Proxies use the links until the program ends, so they are never destroyed.
class machine_links {
 public:
  explicit machine_links(const link_plan& plan);
  machine_links(const machine_links&) = delete;
  machine_links& operator=(const machine_links&) = delete;

  // Returns where this process finds the store, which is at `address`.
  std::string StoreAddress(std::size_t process, const std::string& address);
  // New connections through the proxy use the link of their opener.
  void Limit(fault_proxy& proxy, const site& processes);
  // Empty without slow links.
  std::string Summary() const;

 private:
  // Null if the link is not slow.
  std::vector<std::unique_ptr<machine_link>> links_;
  // Connections; those that close at once have no known opener.
  std::atomic<int> opened_{0};
  std::atomic<int> unknown_{0};
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_MACHINE_LINKS_H_
