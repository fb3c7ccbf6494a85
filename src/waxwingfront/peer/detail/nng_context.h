// RAII around nng's contexts, messages and asynchronous operations.
#ifndef WAXWINGFRONT_PEER_DETAIL_NNG_CONTEXT_H_
#define WAXWINGFRONT_PEER_DETAIL_NNG_CONTEXT_H_

#include <nng/nng.h>

#include <optional>
#include <string>
#include <string_view>

namespace waxwingfront::peer::detail {

// Time limit for handing a message to the transport, in milliseconds.
inline constexpr nng_duration kSendLimitMs = 1000;

// Carries one request/reply exchange at a time on a shared socket.
class nng_context {
 public:
  explicit nng_context(nng_socket socket);
  nng_context(const nng_context&) = delete;
  nng_context& operator=(const nng_context&) = delete;
  ~nng_context();

  // Aborts the operation that blocks in another thread. Later operations fail.
  void Close();
  // Returns false on a timeout or a closed socket. Times are in milliseconds.
  bool Send(std::string_view body, nng_duration limit_ms);
  // Returns nullopt on a timeout or a closed socket.
  std::optional<std::string> Receive(nng_duration limit_ms);

 private:
  nng_ctx context_ = NNG_CTX_INITIALIZER;
  nng_aio* operation_ = nullptr;
};

}  // namespace waxwingfront::peer::detail

#endif  // WAXWINGFRONT_PEER_DETAIL_NNG_CONTEXT_H_
