// Reads one HTTP answer from bytes as they arrive, and tells whether it is
// whole. POCO's client streams end the same way for a whole chunked body and
// for one that was cut off, so answers of executors are parsed by Boost.Beast.
#ifndef WAXWINGFRONT_FRONT_DETAIL_ANSWER_READER_H_
#define WAXWINGFRONT_FRONT_DETAIL_ANSWER_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "waxwingfront/front/message.h"

namespace waxwingfront::front::detail {

enum class answer_progress {
  kNeedMore,
  // The answer is complete, by its length or by its last chunk.
  kWhole,
  // The bytes are no HTTP answer, or the body is larger than allowed.
  kBroken,
};

struct answer_reader_options {
  // False for answers to HEAD.
  bool has_body = true;
  std::size_t max_body_bytes = 1048576;
};

class answer_reader {
 public:
  explicit answer_reader(answer_reader_options options);
  answer_reader(const answer_reader&) = delete;
  answer_reader& operator=(const answer_reader&) = delete;
  ~answer_reader();

  // Takes the next bytes of the connection. Interim answers (1xx) are skipped.
  // An answer that only the end of the connection would end is never whole.
  answer_progress Feed(std::string_view bytes);

  // Whether the connection may carry another request. Only after `kWhole`.
  bool IsConnectionReusable() const;

  // The answer without the headers of the connection. Only after `kWhole`.
  service_reply Take();

 private:
  struct parser;
  void Restart();
  bool IsTooLarge() const;

  answer_reader_options options_;
  std::unique_ptr<parser> parser_;
  std::string unread_;
};

}  // namespace waxwingfront::front::detail

#endif  // WAXWINGFRONT_FRONT_DETAIL_ANSWER_READER_H_
