#include "waxwingfront/hosts/host_list_client.h"

#include <utility>

#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_status.h"

namespace waxwingfront::hosts {
host_list_client::host_list_client(std::string address)
    : http_({.address = std::move(address)}) {}

core::result<schema::host_list> host_list_client::Read() {
  const auto reply = http_.Send("GET", "/v1/hosts", "");
  if (!reply)
    return core::Failure(core::error_code::kUnreachable, reply.error().detail);
  if (reply->status != net::kHttpOk) {
    return core::Failure(core::error_code::kProtocol,
                         "the host list answered with HTTP status " +
                             std::to_string(reply->status));
  }
  schema::host_list list;
  const auto parsed =
      core::FromJson(reply->body, core::unknown_fields::kIgnore, list);
  if (!parsed)
    return core::Failure(core::error_code::kProtocol, parsed.error().detail);
  return list;
}

}  // namespace waxwingfront::hosts
