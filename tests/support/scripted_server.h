// A TCP server that responds to each HTTP request with bytes that the test
// specifies.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define WAXWINGFRONT_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <functional>
#include <memory>
#include <string>

namespace waxwingfront::tests {

// What the server does with the connection after it has sent a response.
enum class after_response { kKeepOpen, kClose, kStaySilent };

struct scripted_response {
  std::string bytes;
  after_response then = after_response::kKeepOpen;
};

class scripted_server {
 public:
  // `respond` receives the request's head and body, and the number of the
  // request over all connections, counted from 1.
  explicit scripted_server(
      std::function<scripted_response(const std::string& request, int number)>
          respond);
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;
  ~scripted_server();

  std::string Address() const;
  // Number of requests that were received completely.
  int Requests() const;
  // Number of accepted connections.
  int Connections() const;
  // Number of connections that the server has closed.
  int Closed() const;

 private:
  struct internal;
  std::unique_ptr<internal> internal_;
};

// Returns an HTTP/1.1 response with status 200 and a Content-Length.
std::string MakeOkResponse(const std::string& body);

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_SCRIPTED_SERVER_H_
