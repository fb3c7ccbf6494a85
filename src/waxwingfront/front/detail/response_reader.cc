#include "waxwingfront/front/detail/response_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

namespace waxwingfront::front::detail {

namespace http = boost::beast::http;

struct response_reader::parser {
  http::response_parser<http::string_body> state;
};

response_reader::response_reader(response_reader_options options)
    : options_(options) {
  Restart();
}

response_reader::~response_reader() = default;

void response_reader::Restart() {
  parser_ = std::make_unique<parser>();
  parser_->state.eager(true);
  parser_->state.skip(!options_.has_body);
  parser_->state.body_limit(options_.max_body_bytes);
}

bool response_reader::IsTooLarge() const {
  // Beast 1.74 does not apply its limit to a response with a Content-Length
  // that arrives in one piece, so the size is checked here as well.
  return parser_->state.get().body().size() > options_.max_body_bytes;
}

response_progress response_reader::Feed(std::string_view bytes) {
  unread_.append(bytes);
  while (!unread_.empty()) {
    boost::beast::error_code failure;
    const std::size_t consumed =
        parser_->state.put(boost::asio::buffer(unread_), failure);
    unread_.erase(0, consumed);
    if (failure == http::error::need_more) return response_progress::kNeedMore;
    if (failure || IsTooLarge()) return response_progress::kInvalid;
    if (!parser_->state.is_done()) {
      if (consumed == 0) return response_progress::kNeedMore;
      continue;
    }
    const bool interim =
        http::to_status_class(parser_->state.get().result_int()) ==
        http::status_class::informational;
    if (!interim) return response_progress::kComplete;
    // No request asks for a protocol upgrade.
    const bool switching =
        parser_->state.get().result() == http::status::switching_protocols;
    if (switching) return response_progress::kInvalid;
    Restart();
  }
  return response_progress::kNeedMore;
}

bool response_reader::IsConnectionReusable() const {
  // Bytes after the response belong to no request.
  return unread_.empty() && parser_->state.keep_alive();
}

service_reply response_reader::Take() {
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
