// A caller that writes bytes of its choice to an entry's connection.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_RAW_CALLER_H_
#define WAXWINGFRONT_TESTS_SUPPORT_RAW_CALLER_H_

#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>

namespace waxwingfront::tests {

class raw_caller {
 public:
  explicit raw_caller(const std::string& address);

  // Sends all bytes; returns whether the other side still took them.
  bool Send(std::string_view bytes);
  // Ends this side's output and keeps the input open.
  void EndOutput();
  // Whether a response or the end of the connection can be read now.
  bool HasInput();
  // Everything until the other side closes the connection; empty if it has not
  // done so within 20 s.
  std::string ReadAll();

 private:
  Poco::Net::StreamSocket socket_;
};

// Sends `bytes` on a connection of their own and gives the whole answer.
std::string RawCall(const std::string& address, std::string_view bytes);

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_RAW_CALLER_H_
