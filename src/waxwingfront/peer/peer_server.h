// Server for other entries' requests over nng.
#ifndef WAXWINGFRONT_PEER_PEER_SERVER_H_
#define WAXWINGFRONT_PEER_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "waxwingfront/core/error.h"

namespace waxwingfront::schema {
class peer_request;
class peer_response;
}  // namespace waxwingfront::schema

namespace waxwingfront::peer {

struct peer_server_options {
  // IP address and port.
  std::string address;
  // Requests that are handled concurrently.
  int threads = 16;
  std::function<schema::peer_response(const schema::peer_request&)> handle;
};

class peer_server {
 public:
  // Fails with `kInvalidSettings` if it cannot listen on the address.
  static core::result<std::unique_ptr<peer_server>> Start(
      peer_server_options options);
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;
  ~peer_server();

 private:
  struct internal;
  explicit peer_server(std::unique_ptr<internal> state);
  std::unique_ptr<internal> internal_;
};

}  // namespace waxwingfront::peer

#endif  // WAXWINGFRONT_PEER_PEER_SERVER_H_
