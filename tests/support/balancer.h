// A load balancer in front of entries. Like the platform's balancer, it sends
// requests only to entries whose `/readyz` reports that they are ready.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_BALANCER_H_
#define WAXWINGFRONT_TESTS_SUPPORT_BALANCER_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "waxwingfront/core/error.h"
#include "waxwingfront/core/periodic_thread.h"
#include "waxwingfront/net/http_client.h"

namespace waxwingfront::tests {

class balancer {
 public:
  explicit balancer(const std::vector<std::string>& addresses);

  // Sends a request to the next ready entry, in round-robin order. Fails if no
  // entry is ready.
  core::result<net::http_reply> Send(std::string_view method,
                                     std::string_view path,
                                     std::string_view body,
                                     const net::http_headers& headers);

 private:
  struct target {
    explicit target(const std::string& address);
    net::http_client probes;
    net::http_client requests;
    std::atomic<bool> ready{false};
  };

  void Probe();

  std::vector<std::unique_ptr<target>> targets_;
  std::atomic<std::size_t> next_{0};
  core::periodic_thread prober_;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_BALANCER_H_
