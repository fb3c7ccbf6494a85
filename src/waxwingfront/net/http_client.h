// Blocking HTTP client for the platform's services.
#ifndef WAXWINGFRONT_NET_HTTP_CLIENT_H_
#define WAXWINGFRONT_NET_HTTP_CLIENT_H_

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"

namespace waxwingfront::net {

struct http_reply {
  int status = 0;
  std::string body;
  // When the call got its connection or began to open one. Set by
  // `async_http_client` only.
  core::monotonic_time begun{};
};

// Names and values of request headers.
using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_client_options {
  // IP address and port.
  std::string address;
  core::milliseconds timeout{1000};
};

// Keeps idle connections for reuse. Thread-safe.
class http_client {
 public:
  explicit http_client(http_client_options options);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  ~http_client();

  // Sends one request and reads the whole response. Fails with `kUnreachable`
  // if no connection could be established, so that nothing was sent, and with
  // `kOutcomeUnknown` if no complete response was received.
  core::result<http_reply> Send(std::string_view method, std::string_view path,
                                std::string_view body,
                                const http_headers& headers = {});

  // Closes all idle connections.
  void CloseIdle();

 private:
  struct connection;

  std::unique_ptr<connection> TakeIdle();
  core::result<std::unique_ptr<connection>> Connect() const;

  http_client_options options_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<connection>> idle_;
};

}  // namespace waxwingfront::net

#endif  // WAXWINGFRONT_NET_HTTP_CLIENT_H_
