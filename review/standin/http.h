// Small HTTP/1.1 server and client for the review's stand-ins.
#ifndef WAXWINGFRONT_REVIEW_HTTP_H_
#define WAXWINGFRONT_REVIEW_HTTP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>

namespace waxwingfront::review {

using std::chrono::milliseconds;

struct http_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::string host;
  std::string expected_instance;
  std::string body;
};

struct http_response {
  // 0: the connection is closed without a response.
  int status = 200;
  std::string body;
};

// Returns a loopback port that is free now.
std::uint16_t FreePort();

// Serves each connection in a thread of its own until the process ends.
class http_server {
 public:
  using handler = std::function<http_response(const http_request&)>;

  http_server(std::uint16_t port, handler handle);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::string Address() const;

 private:
  void Accept();

  std::uint16_t port_;
  int listener_;
  handler handle_;
};

// Returns the response, or status 0 if there is none within `timeout`.
http_response Call(std::uint16_t port, const std::string& method,
                   const std::string& target, const std::string& host,
                   const std::string& body, milliseconds timeout);

}  // namespace waxwingfront::review

#endif  // WAXWINGFRONT_REVIEW_HTTP_H_
