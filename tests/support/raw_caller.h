// A client that sends arbitrary bytes to an entry over TCP.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_RAW_CALLER_H_
#define WAXWINGFRONT_TESTS_SUPPORT_RAW_CALLER_H_

#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>

namespace waxwingfront::tests {

class raw_caller {
 public:
  explicit raw_caller(const std::string& address);

  // Sends all bytes; returns false if the connection is closed.
  bool Send(std::string_view bytes);
  // Shuts down the sending direction and keeps the receiving one open.
  void EndOutput();
  // Returns true if data or the end of the connection can be read now.
  bool HasInput();
  // Returns everything that the peer sends until it closes the connection;
  // empty if the peer sends nothing for 20 s before that.
  std::string ReadAll();

 private:
  Poco::Net::StreamSocket socket_;
};

// Sends `bytes` on a new connection and returns the complete response.
std::string RawCall(const std::string& address, std::string_view bytes);

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_RAW_CALLER_H_
