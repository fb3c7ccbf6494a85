// An HTTP server around one function.
#ifndef WAXWINGFRONT_STANDINS_HTTP_SERVICE_H_
#define WAXWINGFRONT_STANDINS_HTTP_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace waxwingfront::standins {

struct http_call {
  std::string method;
  std::string path;
  // Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct http_answer {
  int status = 200;
  std::string body;
  std::map<std::string, std::string> headers;
  // Closes the connection without an answer.
  bool drop = false;
};

class http_service {
 public:
  // Listens on `address`, an IP address and port; port 0 takes a free one. Each
  // open connection takes a thread; 40 entries hold about 120 to the store.
  http_service(const std::string& address,
               std::function<http_answer(const http_call&)> handle,
               int threads = 512);
  http_service(const http_service&) = delete;
  http_service& operator=(const http_service&) = delete;
  ~http_service();

  // Address that is listened on.
  std::string Address() const;

 private:
  struct internal;
  std::unique_ptr<internal> internal_;
};

}  // namespace waxwingfront::standins

#endif  // WAXWINGFRONT_STANDINS_HTTP_SERVICE_H_
