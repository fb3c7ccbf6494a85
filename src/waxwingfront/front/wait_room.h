// Bounds the requests that wait for a slot, in all and for each customer.
#ifndef WAXWINGFRONT_FRONT_WAIT_ROOM_H_
#define WAXWINGFRONT_FRONT_WAIT_ROOM_H_

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace waxwingfront::front {

struct wait_room_options {
  int places = 64;
  // The largest part of the places that one customer may take, in percent, so
  // that a burst of one leaves room for the others.
  int customer_percent = 50;
};

// Any number of threads may call it. Only requests that find no free slot do.
class wait_room {
 public:
  explicit wait_room(wait_room_options options);

  // Takes a place; false if there is none for this customer. Each success needs
  // one `Leave`.
  bool TryEnter(std::string_view customer);
  void Leave(std::string_view customer);

 private:
  wait_room_options options_;
  std::mutex mutex_;
  int taken_ = 0;
  std::map<std::string, int, std::less<>> taken_by_customer_;
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_WAIT_ROOM_H_
