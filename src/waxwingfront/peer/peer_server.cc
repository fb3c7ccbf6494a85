#include "waxwingfront/peer/peer_server.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>

#include <thread>
#include <utility>
#include <vector>

#include "waxwingfront/peer/detail/nng_context.h"
#include "waxwingfront/schema/gen/peer.pb.h"

namespace waxwingfront::peer {

struct peer_server::internal {
  peer_server_options options;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  // One per thread. Opened before the threads start, because nng blocks forever
  // when it closes a socket on which a context is opened at the same time.
  std::vector<std::unique_ptr<detail::nng_context>> contexts;
  std::vector<std::thread> threads;

  // Handles requests one at a time until the context is closed.
  void Serve(detail::nng_context& context) const {
    while (true) {
      const std::optional<std::string> body =
          context.Receive(NNG_DURATION_INFINITE);
      if (!body.has_value()) return;
      schema::peer_request request;
      schema::peer_response response;
      if (request.ParseFromString(*body)) {
        response = options.handle(request);
      } else {
        response.mutable_failure()->set_code(
            std::string(core::ErrorName(core::error_code::kProtocol)));
      }
      // The time limit keeps a peer that does not read its replies from
      // blocking this thread; only the reply is lost.
      static_cast<void>(
          context.Send(response.SerializeAsString(), detail::kSendLimitMs));
    }
  }
};

core::result<std::unique_ptr<peer_server>> peer_server::Start(
    peer_server_options options) {
  auto state = std::make_unique<internal>();
  state->options = std::move(options);
  const std::string url = "tcp://" + state->options.address;
  int status = nng_rep0_open(&state->socket);
  if (status == 0) status = nng_listen(state->socket, url.c_str(), nullptr, 0);
  if (status != 0) {
    nng_close(state->socket);
    return core::Failure(core::error_code::kInvalidSettings,
                         state->options.address + ": " + nng_strerror(status));
  }
  for (int index = 0; index < state->options.threads; ++index) {
    state->contexts.push_back(
        std::make_unique<detail::nng_context>(state->socket));
  }
  for (const auto& context : state->contexts) {
    state->threads.emplace_back(
        [running = state.get(), &context] { running->Serve(*context); });
  }
  return std::unique_ptr<peer_server>(new peer_server(std::move(state)));
}

peer_server::peer_server(std::unique_ptr<internal> state)
    : internal_(std::move(state)) {}

peer_server::~peer_server() {
  for (const auto& context : internal_->contexts) context->Close();
  for (std::thread& thread : internal_->threads) thread.join();
  internal_->contexts.clear();
  nng_close(internal_->socket);
}

}  // namespace waxwingfront::peer
