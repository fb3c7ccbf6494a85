#include "waxwingfront/net/async_http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>
#include <utility>

#include "waxwingfront/net/detail/tcp_listener.h"
#include "waxwingfront/net/http_status.h"

namespace waxwingfront::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using failure_code = boost::system::error_code;

// Bytes per read. Most requests arrive whole in one read of this size.
constexpr std::size_t kReadBytes = 4096;
// Bytes per read of a larger body, since each read takes an iteration of the
// event loop.
constexpr std::size_t kLargeReadBytes = 64UL * 1024;

int StatusOfReadFailure(const failure_code& failure) {
  if (failure == http::error::header_limit) return kHttpHeaderTooLarge;
  if (failure == http::error::body_limit) return kHttpContentTooLarge;
  return kHttpBadRequest;
}

}  // namespace

std::string_view server_request::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (beast::iequals({key.data(), key.size()}, {name.data(), name.size()})) {
      return value;
    }
  }
  return {};
}

struct async_http_server::internal
    : std::enable_shared_from_this<async_http_server::internal> {
  struct connection {
    explicit connection(asio::ip::tcp::socket socket)
        : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    bool handling_request = false;
    std::list<std::shared_ptr<connection>>::iterator position;
  };
  using connection_ptr = std::shared_ptr<connection>;

  internal(event_loop& loop, async_http_server_options server_options,
           handler request_handler)
      : options(std::move(server_options)),
        handle(std::move(request_handler)),
        listener(std::make_shared<detail::tcp_listener>(
            loop, [this](asio::ip::tcp::socket socket) {
              Open(std::move(socket));
            })) {}

  void Open(asio::ip::tcp::socket socket) {
    failure_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto link = std::make_shared<connection>(std::move(socket));
    // `connections` is ordered by last use, the most recent at the back.
    link->position = connections.insert(connections.end(), link);
    while (connections.size() > options.max_connections && CloseOldestIdle()) {
    }
    Read(link);
  }

  bool CloseOldestIdle() {
    for (const connection_ptr& link : connections) {
      if (link->handling_request) continue;
      Close(connection_ptr(link));
      return true;
    }
    return false;
  }

  void Close(const connection_ptr& link) {
    if (link->position == connections.end()) return;
    connections.erase(link->position);
    link->position = connections.end();
    link->stream.close();
  }

  void Read(const connection_ptr& link) {
    link->handling_request = false;
    link->parser.emplace();
    link->parser->header_limit(options.limits.max_header_bytes);
    link->parser->body_limit(options.limits.max_body_bytes);
    if (link->buffer.size() > 0) {
      ReadRequest(link);
      return;
    }
    // The first bytes are read separately, since a connection may be idle for
    // longer than a request may take.
    link->stream.expires_after(options.limits.idle_timeout);
    link->stream.async_read_some(
        link->buffer.prepare(kReadBytes),
        [self = shared_from_this(), link](const failure_code& failure,
                                          std::size_t bytes) {
          if (failure) {
            self->Close(link);
            return;
          }
          link->buffer.commit(bytes);
          self->ReadRequest(link);
        });
  }

  void ReadRequest(const connection_ptr& link) {
    link->stream.expires_after(options.limits.read_timeout);
    http::async_read_header(link->stream, link->buffer, *link->parser,
                            [self = shared_from_this(), link](
                                const failure_code& failure, std::size_t) {
                              if (failure) {
                                self->OnReadFailure(link, failure);
                              } else if (link->parser->is_done()) {
                                self->OnRequest(link);
                              } else {
                                self->ReadBody(link);
                              }
                            });
  }

  void ReadBody(const connection_ptr& link) {
    if (link->parser->content_length().value_or(kLargeReadBytes) > kReadBytes) {
      link->buffer.reserve(kLargeReadBytes);
    }
    http::async_read(link->stream, link->buffer, *link->parser,
                     [self = shared_from_this(), link](
                         const failure_code& failure, std::size_t) {
                       if (failure) {
                         self->OnReadFailure(link, failure);
                         return;
                       }
                       self->OnRequest(link);
                     });
  }

  void OnReadFailure(const connection_ptr& link, const failure_code& failure) {
    if (failure.category() !=
            http::make_error_code(http::error::bad_target).category() ||
        failure == http::error::end_of_stream) {
      Close(link);
      return;
    }
    Write(link, {.status = StatusOfReadFailure(failure)}, false);
  }

  void OnRequest(const connection_ptr& link) {
    if (link->position == connections.end()) return;
    connections.splice(connections.end(), connections, link->position);
    link->handling_request = true;
    ++open_requests;
    link->stream.expires_never();
    http::request<http::string_body> message = link->parser->release();
    const bool keep_alive = message.keep_alive();
    server_request request{
        .method = std::string(message.method_string()),
        .target = std::string(message.target()),
        .host = std::string(message[http::field::host]),
        .body = std::move(message.body()),
        .headers = {},
        .received = core::Now(),
    };
    for (const auto& field : message) {
      request.headers.emplace_back(std::string(field.name_string()),
                                   std::string(field.value()));
    }
    handle(std::move(request), [self = shared_from_this(), link,
                                keep_alive](server_response reply) {
      --self->open_requests;
      self->Write(link, std::move(reply), keep_alive);
    });
  }

  void Write(const connection_ptr& link, server_response reply,
             bool keep_alive) {
    if (link->position == connections.end()) return;
    http::response<http::string_body>& response = link->response;
    response = {};
    response.version(11);
    response.result(static_cast<unsigned>(reply.status));
    for (const auto& [name, value] : reply.headers) response.set(name, value);
    if (!reply.body.empty()) {
      response.set(http::field::content_type, "application/json");
    }
    response.keep_alive(keep_alive && !draining);
    response.body() = std::move(reply.body);
    response.prepare_payload();
    link->stream.expires_after(options.limits.idle_timeout);
    http::async_write(link->stream, response,
                      [self = shared_from_this(), link](
                          const failure_code& failure, std::size_t) {
                        if (failure || !link->response.keep_alive()) {
                          self->Close(link);
                          return;
                        }
                        self->Read(link);
                      });
  }

  async_http_server_options options;
  handler handle;
  std::shared_ptr<detail::tcp_listener> listener;
  std::list<connection_ptr> connections;
  std::size_t open_requests = 0;
  bool draining = false;
};

async_http_server::async_http_server(event_loop& loop,
                                     async_http_server_options options,
                                     handler handle)
    : internal_(std::make_shared<internal>(loop, std::move(options),
                                           std::move(handle))) {}

async_http_server::~async_http_server() { internal_->listener->Close(); }

core::result<void> async_http_server::Start() {
  return internal_->listener->Start(internal_->options.address);
}

const std::string& async_http_server::Address() const {
  return internal_->listener->Address();
}

void async_http_server::SetLimits(const request_limits& limits) {
  internal_->options.limits = limits;
}

void async_http_server::Drain() { internal_->draining = true; }

std::size_t async_http_server::OpenRequests() const {
  return internal_->open_requests;
}

}  // namespace waxwingfront::net
