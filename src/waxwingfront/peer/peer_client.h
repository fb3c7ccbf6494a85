// Requests to other entries over nng.
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

// Any number of threads may call it.
class peer_client {
 public:
  peer_client();
  peer_client(const peer_client&) = delete;
  peer_client& operator=(const peer_client&) = delete;
  ~peer_client();

  // Sends `request` to the entry at `address` and waits for the answer. Fails
  // with `kUnreachable` if it was not sent, with `kOutcomeUnknown` if no answer
  // came in time, and with the peer's own failure.
  core::result<schema::peer_response> Call(const std::string& address,
                                           const schema::peer_request& request,
                                           core::milliseconds limit);

 private:
  struct internal;
  std::unique_ptr<internal> internal_;
};

}  // namespace waxwingfront::peer

#endif  // WAXWINGFRONT_PEER_PEER_CLIENT_H_
