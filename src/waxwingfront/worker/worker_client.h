// Client of a worker's agent.
#ifndef WAXWINGFRONT_WORKER_WORKER_CLIENT_H_
#define WAXWINGFRONT_WORKER_WORKER_CLIENT_H_

#include <string>

#include "waxwingfront/core/error.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/schema/gen/worker_protocol.pb.h"

namespace waxwingfront::worker {

struct worker_client_options {
  // IP address and port of the worker's agent.
  std::string address;
  core::milliseconds timeout{1000};
};

class worker_client {
 public:
  explicit worker_client(worker_client_options options);

  // Sends one request and returns the response. After an error it is unknown
  // whether the worker executed the request.
  core::result<schema::sync_response> Sync(const schema::sync_request& request);

 private:
  net::http_client http_;
};

}  // namespace waxwingfront::worker

#endif  // WAXWINGFRONT_WORKER_WORKER_CLIENT_H_
