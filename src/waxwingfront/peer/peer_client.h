// Client for requests to other entries over nng.
#ifndef WAXWINGFRONT_PEER_PEER_CLIENT_H_
#define WAXWINGFRONT_PEER_PEER_CLIENT_H_

#include <memory>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"

namespace waxwingfront::schema {
class peer_request;
class peer_response;
}  // namespace waxwingfront::schema

namespace waxwingfront::peer {

// Thread-safe.
class peer_client {
 public:
  peer_client();
  peer_client(const peer_client&) = delete;
  peer_client& operator=(const peer_client&) = delete;
  ~peer_client();

  // Sends `request` to the entry at `address` and waits for the response. Fails
  // with `kUnreachable` if the request was not sent, with `kOutcomeUnknown` if
  // no response arrived within `limit`, and with the error that the peer
  // reports.
  core::result<schema::peer_response> Call(const std::string& address,
                                           const schema::peer_request& request,
                                           core::milliseconds limit);

 private:
  struct internal;
  std::unique_ptr<internal> internal_;
};

}  // namespace waxwingfront::peer

#endif  // WAXWINGFRONT_PEER_PEER_CLIENT_H_
