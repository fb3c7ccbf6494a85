// Incremental parser of one HTTP response that detects truncation. POCO's
// client streams end the same way for a complete chunked body and for a
// truncated one, so responses of executors are parsed by Boost.Beast.
#ifndef WAXWINGFRONT_FRONT_DETAIL_RESPONSE_READER_H_
#define WAXWINGFRONT_FRONT_DETAIL_RESPONSE_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "waxwingfront/front/message.h"

namespace waxwingfront::front::detail {

enum class response_progress {
  kNeedMore,
  // The response is complete, by its length or by its last chunk.
  kComplete,
  // The bytes are not an HTTP response, or the body is larger than allowed.
  kInvalid,
};

struct response_reader_options {
  // False for responses to HEAD.
  bool has_body = true;
  std::size_t max_body_bytes = 1048576;
};

class response_reader {
 public:
  explicit response_reader(response_reader_options options);
  response_reader(const response_reader&) = delete;
  response_reader& operator=(const response_reader&) = delete;
  ~response_reader();

  // Parses the next bytes of the connection. Interim responses (1xx) are
  // skipped. A response that is delimited only by the end of the connection is
  // never complete, since it cannot be told from a truncated one.
  response_progress Feed(std::string_view bytes);

  // True if the connection may carry another request. Call only after
  // `kComplete`.
  bool IsConnectionReusable() const;

  // Returns the response without hop-by-hop headers. Call only after
  // `kComplete`.
  service_reply Take();

 private:
  struct parser;
  void Restart();
  bool IsTooLarge() const;

  response_reader_options options_;
  std::unique_ptr<parser> parser_;
  std::string unread_;
};

}  // namespace waxwingfront::front::detail

#endif  // WAXWINGFRONT_FRONT_DETAIL_RESPONSE_READER_H_
