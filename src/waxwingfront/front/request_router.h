// Routes requests to executors and decides which ones may be retried.
#ifndef WAXWINGFRONT_FRONT_REQUEST_ROUTER_H_
#define WAXWINGFRONT_FRONT_REQUEST_ROUTER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/core/rcu_cell.h"
#include "waxwingfront/front/message.h"
#include "waxwingfront/front/retry_budget.h"
#include "waxwingfront/front/service_time_estimate.h"
#include "waxwingfront/front/upstream_choice.h"
#include "waxwingfront/front/wait_queue.h"
#include "waxwingfront/hosts/host_view.h"

namespace waxwingfront::front {

class upstream;

struct request_router_options {
  core::milliseconds connect_timeout{500};
  std::size_t max_body_bytes = 1048576;
  // Attempts for one request at most, each at another executor. Rejections for
  // lack of a free slot do not count.
  int max_attempts = 3;
  retry_budget_options retries;
  // Bounds the requests that wait for a slot.
  wait_queue_options waiting;
  // Id of this entry.
  std::string entry_id;
  // The clock of the requests' deadlines.
  std::function<core::monotonic_time()> now = core::Now;
};

class request_router {
 public:
  explicit request_router(request_router_options options);
  ~request_router();

  // Replaces the routing table. Connections to executors that remain are kept.
  void OnHosts(const hosts::host_view& view);

  // Divides the executors' slots among the live entries, including this one.
  void OnEntries(std::span<const std::string> entries);

  // Routes one request. Fails with `kNoUpstream`, `kOverloaded`,
  // `kDeadlineExceeded` or `kNotRun` if it certainly did not run, and with
  // `kOutcomeUnknown` otherwise.
  core::result<service_reply> Route(const service_request& request);

 private:
  struct service_route {
    upstream_list upstreams;
    // Shared by successive tables, so that the estimate survives an update.
    std::shared_ptr<service_time_estimate> response_time;
  };
  struct routing_table {
    std::map<std::string, service_route, std::less<>> services;
  };

  // Returns the executors of a service, or null if the service has none.
  static const service_route* FindService(const routing_table* table,
                                          std::string_view service);
  core::result<std::shared_ptr<upstream>> Acquire(
      const service_request& request, const upstream_list& tried) const;
  // Like `Acquire`, but waits for a free slot while the request can still meet
  // its deadline.
  core::result<std::shared_ptr<upstream>> AcquireOrWait(
      const service_request& request, const upstream_list& tried);
  bool CannotMeetDeadline(const service_request& request) const;
  core::result<service_reply> Attempt(upstream& target,
                                      const service_request& request,
                                      core::monotonic_time limit) const;
  std::shared_ptr<upstream> MakeUpstream(
      const hosts::executor_info& info,
      std::span<const std::string> entries) const;

  request_router_options options_;
  core::rcu_cell<routing_table> table_;
  retry_budget retries_;
  wait_queue wait_queue_;
  std::mutex entries_mutex_;
  std::vector<std::string> entries_;
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_REQUEST_ROUTER_H_
