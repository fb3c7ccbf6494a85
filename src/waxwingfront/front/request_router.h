// Chooses executors for requests and decides what may be tried again.
#ifndef WAXWINGFRONT_FRONT_REQUEST_ROUTER_H_
#define WAXWINGFRONT_FRONT_REQUEST_ROUTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/core/rcu_cell.h"
#include "waxwingfront/front/message.h"
#include "waxwingfront/front/retry_budget.h"
#include "waxwingfront/front/upstream_choice.h"
#include "waxwingfront/hosts/host_view.h"

namespace waxwingfront::front {

class upstream;

struct request_router_options {
  core::milliseconds connect_timeout{500};
  std::size_t max_body_bytes = 1048576;
  // Executors tried for one request at most.
  int max_tries = 3;
  retry_budget_options retries;
};

class request_router {
 public:
  explicit request_router(request_router_options options);
  ~request_router();

  // Replaces the routing table. Connections to executors that stay are kept.
  void OnHosts(const hosts::host_view& view);

  // Routes one request. Fails with `kNoUpstream`, `kOverloaded`,
  // `kDeadlineExceeded` or `kNotRun` if it surely did not run, and with
  // `kOutcomeUnknown` otherwise.
  core::result<service_reply> Route(const service_request& request);

 private:
  struct routing_table {
    std::map<std::string, upstream_list, std::less<>> services;
  };

  // The executors of a service; null if there are none.
  static const upstream_list* FindService(const routing_table* table,
                                          std::string_view service);
  core::result<std::shared_ptr<upstream>> AcquireInTime(
      const service_request& request, const upstream_list& tried) const;

  request_router_options options_;
  core::rcu_cell<routing_table> table_;
  retry_budget retries_;
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_REQUEST_ROUTER_H_
