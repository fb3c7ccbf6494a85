// Stand-in for an executor of a service.
#ifndef WAXWINGFRONT_STANDINS_EXECUTOR_H_
#define WAXWINGFRONT_STANDINS_EXECUTOR_H_

#include <atomic>
#include <mutex>
#include <string>

#include "waxwingfront/standins/http_service.h"

namespace waxwingfront::standins {

// Responds to any request with "<id> <method> <path> <body>", after the delay
// in its header `test-delay-ms`. Rejects requests beyond its slots as not
// started. `GET /journal` lists the ids of the requests that ran, from their
// header `test-id`; `GET /refused` returns the number of rejected requests.
// `test-drop: 1` runs the request and closes the connection without a response.
class executor {
 public:
  executor(std::string id, int slots);

  http_response Handle(const http_call& call);

 private:
  std::string id_;
  int slots_;
  std::atomic<int> active_requests_{0};
  std::atomic<int> rejected_{0};
  std::mutex mutex_;
  std::string journal_;
};

}  // namespace waxwingfront::standins

#endif  // WAXWINGFRONT_STANDINS_EXECUTOR_H_
