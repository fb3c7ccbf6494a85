// The HTTP server for callers.
#ifndef WAXWINGFRONT_FRONT_FRONT_SERVER_H_
#define WAXWINGFRONT_FRONT_FRONT_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"

namespace waxwingfront::jobs {
class job_service;
}

namespace waxwingfront::metrics {
class registry;
}

namespace waxwingfront::front {

class request_router;

struct front_server_options {
  // IP address and port.
  std::string address;
  int threads = 128;
  std::size_t max_body_bytes = 1048576;
  core::milliseconds default_deadline{10000};
  // Time in which a caller has to send a whole request, and to read a whole
  // response.
  core::milliseconds read_timeout{10000};
  core::milliseconds write_timeout{30000};
  // Time after which a connection without a request is closed.
  core::milliseconds idle_timeout{30000};
  std::function<std::shared_ptr<const bundle::bundle_view>()> policy;
  // Returns the type of the reason why this entry is not ready; empty if it is.
  std::function<std::string()> unready_reason;
};

class front_server {
 public:
  // Fails with `kInvalidSettings` if it cannot listen on the address. The
  // references must outlive the server.
  static core::result<std::unique_ptr<front_server>> Start(
      front_server_options options, request_router& router,
      jobs::job_service& jobs, metrics::registry& metrics);
  front_server(const front_server&) = delete;
  front_server& operator=(const front_server&) = delete;
  ~front_server();

  // Returns the port that the server listens on. Differs from the port of the
  // options if that is 0.
  int Port() const;

  // Returns the number of requests whose callers wait for a response.
  int InFlight() const;

  // Keeps serving, but closes each connection after its next response, so that
  // callers leave before `Drain`.
  void BeginDrain();

  // Serves until no connection is left, for at most `limit`, and then stops.
  // Idle connections that remain are closed.
  void Drain(core::milliseconds limit);

 private:
  struct internal;
  explicit front_server(std::unique_ptr<internal> state);
  std::unique_ptr<internal> internal_;
};

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_FRONT_SERVER_H_
