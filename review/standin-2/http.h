// A small blocking HTTP/1.1 server and client on loopback.
#ifndef WAXWINGFRONT_REVIEW_STANDIN_2_HTTP_H_
#define WAXWINGFRONT_REVIEW_STANDIN_2_HTTP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace waxwingfront::review_2 {

struct http_request {
  std::string method;
  // Without the query.
  std::string path;
  std::map<std::string, std::string> query;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body = {};
};

struct http_response {
  // 0 closes the connection without an answer.
  int status = 200;
  std::string body = {};
};

// Serves on a free port until the process ends; never destroyed.
class http_server {
 public:
  using handler = std::function<http_response(const http_request&)>;

  explicit http_server(handler handle);

  std::uint16_t Port() const { return port_; }
  std::string Address() const;

 private:
  void Accept();
  void Serve(int socket) const;

  handler handle_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
};

struct http_call {
  std::uint16_t port = 0;
  std::string method = "GET";
  std::string target = {};
  std::string host = {};
  std::string body = {};
  // How long to wait for the answer; also sent as `Deadline-Ms`.
  int timeout_ms = 3000;
};

// Returns status 0 if there was no whole answer in time.
http_response Call(const http_call& call);

// Return a socket, or -1.
int Listen(std::uint16_t port, std::uint16_t* bound);
int Connect(std::uint16_t port);

// Returns a port that nobody listens on.
std::uint16_t FreePort();

}  // namespace waxwingfront::review_2

#endif  // WAXWINGFRONT_REVIEW_STANDIN_2_HTTP_H_
