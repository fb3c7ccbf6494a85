// HTTP server that passes each request to one function.
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

struct http_response {
  int status = 200;
  std::string body;
  std::map<std::string, std::string> headers;
  // Closes the connection without a response.
  bool drop = false;
};

class http_service {
 public:
  // Listens on `address`, an IP address and port; port 0 selects a free port.
  // Each open connection occupies a thread; 40 entries hold about 120
  // connections to the store.
  http_service(const std::string& address,
               std::function<http_response(const http_call&)> handle,
               int threads = 512);
  http_service(const http_service&) = delete;
  http_service& operator=(const http_service&) = delete;
  ~http_service();

  // Returns the address on which the service listens.
  std::string Address() const;

 private:
  struct internal;
  std::unique_ptr<internal> internal_;
};

}  // namespace waxwingfront::standins

#endif  // WAXWINGFRONT_STANDINS_HTTP_SERVICE_H_
