// A caller's connection to a process.
#ifndef WAXWINGFRONT_TESTS_SOAK_CALLER_LINK_H_
#define WAXWINGFRONT_TESTS_SOAK_CALLER_LINK_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingfront::soak {

using std::chrono::milliseconds;

enum class reply_kind : std::uint8_t { kAnswered, kClosed, kLate, kUnreadable };

struct caller_reply {
  reply_kind kind = reply_kind::kClosed;
  int status = 0;
  std::string body;
  // The process announced that it closes the connection.
  bool closes = false;
};

class caller_link {
 public:
  caller_link() = default;
  caller_link(const caller_link&) = delete;
  caller_link& operator=(const caller_link&) = delete;
  ~caller_link() { Close(); }

  bool Connect(std::uint16_t port);
  bool IsOpen() const { return socket_ >= 0; }
  void Close();
  // Ends the sending side.
  void HalfClose() const;
  // False if not all was accepted for sending.
  bool Send(std::string_view bytes) const;
  caller_reply Receive(milliseconds patience);

 private:
  int socket_ = -1;
  // Received and not yet read.
  std::string rest_;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_CALLER_LINK_H_
