// HTTP handlers of the paths that callers use.
#ifndef WAXWINGFRONT_FRONT_DETAIL_HANDLERS_H_
#define WAXWINGFRONT_FRONT_DETAIL_HANDLERS_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <atomic>
#include <string>

#include "waxwingfront/front/front_server.h"

namespace waxwingfront::front::detail {

// State that all handlers share. Must outlive them.
struct front_context {
  front_server_options options;
  request_router& router;
  jobs::job_service& jobs;
  metrics::registry& metrics;
  std::atomic<int> in_flight{0};
  std::atomic<bool> draining{false};
};

// Counts the rejection of a request that reached no service or job.
void CountRejection(front_context& context, const core::error& failure);

// Creates the handler of each request by its path.
class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit handler_factory(front_context& context) : context_(context) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override;

 private:
  front_context& context_;
};

}  // namespace waxwingfront::front::detail

#endif  // WAXWINGFRONT_FRONT_DETAIL_HANDLERS_H_
