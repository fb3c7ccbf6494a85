// Stand-in for the service that decides which executors may run a step.
#ifndef WAXWINGFRONT_REVIEW_STANDIN_2_ADVISER_H_
#define WAXWINGFRONT_REVIEW_STANDIN_2_ADVISER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "http.h"

namespace waxwingfront::review_2 {

struct adviser_options {
  int decision_ms = 100;
  int per_worker_ms = 5;
  int valid_ms = 3000;
};

// Handles one call at a time, in turn, since all calls come from one machine.
// With 32 calls waiting it answers 429. Half of the executors, others for each
// step, are allowed. Never destroyed.
class adviser {
 public:
  adviser(adviser_options options,
          std::function<void(const std::string&)> report);

  std::string Address() const { return server_->Address(); }
  // Longest time from the arrival of a call to its answer.
  std::int64_t LongestMs();

 private:
  http_response Handle(const http_request& request);

  adviser_options options_;
  std::function<void(const std::string&)> report_;
  std::mutex mutex_;
  std::condition_variable turn_;
  std::int64_t last_ = 0;
  std::int64_t served_ = 0;
  std::int64_t longest_ms_ = 0;
  std::unique_ptr<http_server> server_;
};

}  // namespace waxwingfront::review_2

#endif  // WAXWINGFRONT_REVIEW_STANDIN_2_ADVISER_H_
