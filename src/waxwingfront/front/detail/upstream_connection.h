// One connection to an executor. Knows which bytes may have left.
#ifndef WAXWINGFRONT_FRONT_DETAIL_UPSTREAM_CONNECTION_H_
#define WAXWINGFRONT_FRONT_DETAIL_UPSTREAM_CONNECTION_H_

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"

namespace waxwingfront::front::detail {

class upstream_connection {
 public:
  // Connects to an IP address and port. Fails with `kNotRun`.
  static core::result<std::unique_ptr<upstream_connection>> Connect(
      const std::string& address, core::milliseconds limit);

  // Sends all of `bytes`. Fails with `kNotRun` if not one byte was handed to
  // the system, and with `kOutcomeUnknown` if some were.
  core::result<void> Send(std::string_view bytes, core::monotonic_time limit);

  // The next bytes. Fails with `kOutcomeUnknown` at the limit, at the end of
  // the connection and on an error.
  core::result<std::string> Receive(core::monotonic_time limit);

  // Whether nothing arrived since the last answer, not even the end.
  bool IsQuiet() const;

  void MarkAnswered() { answered_at_ = core::Now(); }
  core::monotonic_time AnsweredAt() const { return answered_at_; }

 private:
  explicit upstream_connection(const Poco::Net::StreamSocket& socket);

  Poco::Net::StreamSocket socket_;
  core::monotonic_time answered_at_;
};

}  // namespace waxwingfront::front::detail

#endif  // WAXWINGFRONT_FRONT_DETAIL_UPSTREAM_CONNECTION_H_
