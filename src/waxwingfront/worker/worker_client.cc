#include "waxwingfront/worker/worker_client.h"

#include <utility>

#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_status.h"

namespace waxwingfront::worker {
worker_client::worker_client(worker_client_options options)
    : http_({.address = std::move(options.address),
             .timeout = options.timeout}) {}

core::result<schema::sync_response> worker_client::Sync(
    const schema::sync_request& request) {
  const auto reply = http_.Send("POST", "/v1/sync", core::ToJson(request));
  if (!reply) return tl::unexpected(reply.error());
  if (reply->status != net::kHttpOk) {
    return core::Failure(core::error_code::kProtocol,
                         "the worker answered with HTTP status " +
                             std::to_string(reply->status));
  }
  schema::sync_response response;
  const auto parsed =
      core::FromJson(reply->body, core::unknown_fields::kIgnore, response);
  if (!parsed)
    return core::Failure(core::error_code::kProtocol, parsed.error().detail);
  return response;
}

}  // namespace waxwingfront::worker
