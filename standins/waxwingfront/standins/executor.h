// Stand-in of an executor of a service.
#ifndef WAXWINGFRONT_STANDINS_EXECUTOR_H_
#define WAXWINGFRONT_STANDINS_EXECUTOR_H_

#include <atomic>
#include <mutex>
#include <string>

#include "waxwingfront/standins/http_service.h"

namespace waxwingfront::standins {

// Answers any request after `test-delay-ms` of its headers with "<id> <method>
// <path> <body>", and refuses requests beyond its slots as not started. `GET
// /journal` lists the ids of the requests that ran, from their header
// `test-id`. `test-drop: 1` runs the request and closes without an answer.
class executor {
 public:
  executor(std::string id, int slots);

  http_answer Handle(const http_call& call);

 private:
  std::string id_;
  int slots_;
  std::atomic<int> busy_{0};
  std::atomic<int> refused_{0};
  std::mutex mutex_;
  std::string journal_;
};

}  // namespace waxwingfront::standins

#endif  // WAXWINGFRONT_STANDINS_EXECUTOR_H_
