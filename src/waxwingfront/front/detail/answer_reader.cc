#include "waxwingfront/front/detail/answer_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

namespace waxwingfront::front::detail {

namespace http = boost::beast::http;

struct answer_reader::parser {
  http::response_parser<http::string_body> state;
};

answer_reader::answer_reader(answer_reader_options options)
    : options_(options) {
  Restart();
}

answer_reader::~answer_reader() = default;

void answer_reader::Restart() {
  parser_ = std::make_unique<parser>();
  parser_->state.eager(true);
  parser_->state.skip(!options_.has_body);
  parser_->state.body_limit(options_.max_body_bytes);
}

bool answer_reader::IsTooLarge() const {
  // Beast 1.74 does not apply its limit to an answer with a length that comes
  // in one piece, so the size is checked here as well.
  return parser_->state.get().body().size() > options_.max_body_bytes;
}

answer_progress answer_reader::Feed(std::string_view bytes) {
  unread_.append(bytes);
  while (!unread_.empty()) {
    boost::beast::error_code failure;
    const std::size_t taken =
        parser_->state.put(boost::asio::buffer(unread_), failure);
    unread_.erase(0, taken);
    if (failure == http::error::need_more) return answer_progress::kNeedMore;
    if (failure || IsTooLarge()) return answer_progress::kBroken;
    if (!parser_->state.is_done()) {
      if (taken == 0) return answer_progress::kNeedMore;
      continue;
    }
    const bool interim =
        http::to_status_class(parser_->state.get().result_int()) ==
        http::status_class::informational;
    if (!interim) return answer_progress::kWhole;
    // A switch of protocols was never asked for.
    const bool switching =
        parser_->state.get().result() == http::status::switching_protocols;
    if (switching) return answer_progress::kBroken;
    Restart();
  }
  return answer_progress::kNeedMore;
}

bool answer_reader::IsConnectionReusable() const {
  // Bytes after the answer belong to no request.
  return unread_.empty() && parser_->state.keep_alive();
}

service_reply answer_reader::Take() {
  auto message = parser_->state.release();
  service_reply reply{.status = static_cast<int>(message.result_int())};
  for (const auto& field : message) {
    const std::string name(field.name_string());
    if (!IsHopByHop(name)) {
      reply.headers.emplace_back(name, std::string(field.value()));
    }
  }
  reply.body = std::move(message.body());
  return reply;
}

}  // namespace waxwingfront::front::detail
