#include "waxwingfront/peer/peer_client.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

#include <map>
#include <mutex>
#include <optional>

#include "waxwingfront/peer/detail/nng_context.h"
#include "waxwingfront/schema/gen/peer.pb.h"

namespace waxwingfront::peer {

struct peer_client::internal {
  std::mutex mutex;
  std::map<std::string, nng_socket> sockets;

  std::optional<nng_socket> SocketFor(const std::string& address) {
    const std::lock_guard lock(mutex);
    const auto found = sockets.find(address);
    if (found != sockets.end()) return found->second;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_req0_open(&socket) != 0) return std::nullopt;
    // By default nng resends a request that receives no reply. Only the caller
    // may decide on retries.
    nng_socket_set_ms(socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    const std::string url = "tcp://" + address;
    if (nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
      nng_close(socket);
      return std::nullopt;
    }
    sockets.emplace(address, socket);
    return socket;
  }
};

peer_client::peer_client() : internal_(std::make_unique<internal>()) {}

peer_client::~peer_client() {
  for (const auto& [address, socket] : internal_->sockets) nng_close(socket);
}

core::result<schema::peer_response> peer_client::Call(
    const std::string& address, const schema::peer_request& request,
    core::milliseconds limit) {
  const std::optional<nng_socket> socket = internal_->SocketFor(address);
  if (!socket.has_value()) {
    return core::Failure(core::error_code::kUnreachable,
                         "cannot connect to peer " + address);
  }
  detail::nng_context context(*socket);
  const auto limit_ms = static_cast<nng_duration>(limit.count());
  if (!context.Send(request.SerializeAsString(), limit_ms)) {
    return core::Failure(core::error_code::kUnreachable,
                         "cannot send to peer " + address);
  }
  const std::optional<std::string> body = context.Receive(limit_ms);
  schema::peer_response response;
  if (!body.has_value() || !response.ParseFromString(*body)) {
    return core::Failure(core::error_code::kOutcomeUnknown,
                         "no answer from peer " + address);
  }
  if (response.has_failure()) {
    const auto code = core::ErrorFromName(response.failure().code());
    return core::Failure(code.value_or(core::error_code::kProtocol),
                         response.failure().detail());
  }
  return response;
}

}  // namespace waxwingfront::peer
