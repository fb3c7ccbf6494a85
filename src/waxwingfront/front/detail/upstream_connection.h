// A connection to an executor. Its errors tell whether any byte of a request
// may have been sent.
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

  // Returns the next bytes. Fails with `kOutcomeUnknown` at the limit, at the
  // end of the connection and on an error.
  core::result<std::string> Receive(core::monotonic_time limit);

  // True if neither bytes nor the end of the connection arrived since the last
  // response.
  bool HasNoPendingInput() const;

  void MarkResponseReceived() { last_response_at_ = core::Now(); }
  core::monotonic_time LastResponseAt() const { return last_response_at_; }

 private:
  explicit upstream_connection(const Poco::Net::StreamSocket& socket);

  Poco::Net::StreamSocket socket_;
  core::monotonic_time last_response_at_;
};

}  // namespace waxwingfront::front::detail

#endif  // WAXWINGFRONT_FRONT_DETAIL_UPSTREAM_CONNECTION_H_
