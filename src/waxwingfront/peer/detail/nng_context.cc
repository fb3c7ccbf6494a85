#include "waxwingfront/peer/detail/nng_context.h"

namespace waxwingfront::peer::detail {

nng_context::nng_context(nng_socket socket) {
  nng_ctx_open(&context_, socket);
  nng_aio_alloc(&operation_, nullptr, nullptr);
}

nng_context::~nng_context() {
  nng_aio_free(operation_);
  nng_ctx_close(context_);
}

void nng_context::Close() { nng_ctx_close(context_); }

bool nng_context::Send(std::string_view body, nng_duration limit_ms) {
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0) return false;
  if (nng_msg_append(message, body.data(), body.size()) != 0) {
    nng_msg_free(message);
    return false;
  }
  nng_aio_set_timeout(operation_, limit_ms);
  nng_aio_set_msg(operation_, message);
  nng_ctx_send(context_, operation_);
  nng_aio_wait(operation_);
  if (nng_aio_result(operation_) == 0) return true;
  // A message that was not sent still belongs to the caller.
  nng_msg_free(message);
  return false;
}

std::optional<std::string> nng_context::Receive(nng_duration limit_ms) {
  nng_aio_set_timeout(operation_, limit_ms);
  nng_ctx_recv(context_, operation_);
  nng_aio_wait(operation_);
  if (nng_aio_result(operation_) != 0) return std::nullopt;
  nng_msg* message = nng_aio_get_msg(operation_);
  std::string body(static_cast<const char*>(nng_msg_body(message)),
                   nng_msg_len(message));
  nng_msg_free(message);
  return body;
}

}  // namespace waxwingfront::peer::detail
