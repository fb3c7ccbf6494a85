// Limits the requests that wait for a slot, in total and for each customer.
#ifndef WAXWINGFRONT_FRONT_WAIT_QUEUE_H_
#define WAXWINGFRONT_FRONT_WAIT_QUEUE_H_

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace waxwingfront::front {

struct wait_queue_options {
  // Requests that may wait at the same time.
  int capacity = 64;
  // Largest share of the capacity that one customer may use, in percent, so
  // that a burst of one customer leaves capacity for the others.
  int customer_percent = 50;
};

// Thread-safe. Counts requests only; it imposes no order among them. Called
// only for requests that find no free slot.
class wait_queue {
 public:
  explicit wait_queue(wait_queue_options options);

  // Returns false if the queue is full for this customer. Each success must be
  // matched by one `Leave`.
  bool TryEnter(std::string_view customer);
  void Leave(std::string_view customer);

 private:
  wait_queue_options options_;
  std::mutex mutex_;
  int waiting_ = 0;
  std::map<std::string, int, std::less<>> waiting_by_customer_;
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_WAIT_QUEUE_H_
