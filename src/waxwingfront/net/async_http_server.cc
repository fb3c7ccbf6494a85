#include "waxwingfront/net/async_http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>
#include <utility>

#include "waxwingfront/net/detail/ipv4_endpoint.h"
#include "waxwingfront/net/http_status.h"

namespace waxwingfront::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using failure_code = boost::system::error_code;

constexpr int kListenBacklog = 512;
// Connections that are accepted before other work goes on.
constexpr int kMostAcceptsAtOnce = 64;
// Most requests arrive whole in one read of this size.
constexpr std::size_t kReadBytes = 4096;
// The same for a body that is larger, since each piece takes a pass of the
// loop.
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
    bool answering = false;
    std::list<std::shared_ptr<connection>>::iterator place;
  };
  using connection_ptr = std::shared_ptr<connection>;

  internal(event_loop& loop, async_http_server_options chosen, handler chosen_h)
      : context(loop.Context()),
        acceptor(loop.Context()),
        options(std::move(chosen)),
        handle(std::move(chosen_h)) {}

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const failure_code& failure,
                                    asio::ip::tcp::socket socket) {
          if (!self->acceptor.is_open()) return;
          if (!failure) self->Open(std::move(socket));
          self->AcceptWaiting();
          self->Accept();
        });
  }

  // The loop accepts one connection at each turn, and turns are long while it
  // is busy.
  void AcceptWaiting() {
    for (int i = 0; i < kMostAcceptsAtOnce; ++i) {
      failure_code failure;
      asio::ip::tcp::socket socket(context);
      acceptor.accept(socket, failure);
      if (failure) return;
      Open(std::move(socket));
    }
  }

  void Open(asio::ip::tcp::socket socket) {
    failure_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto link = std::make_shared<connection>(std::move(socket));
    // Most recently used connections are at the back.
    link->place = connections.insert(connections.end(), link);
    while (connections.size() > options.max_connections && CloseOldestIdle()) {
    }
    Read(link);
  }

  bool CloseOldestIdle() {
    for (const connection_ptr& link : connections) {
      if (link->answering) continue;
      Close(connection_ptr(link));
      return true;
    }
    return false;
  }

  void Close(const connection_ptr& link) {
    if (link->place == connections.end()) return;
    connections.erase(link->place);
    link->place = connections.end();
    link->stream.close();
  }

  void Read(const connection_ptr& link) {
    link->answering = false;
    link->parser.emplace();
    link->parser->header_limit(options.limits.max_header_bytes);
    link->parser->body_limit(options.limits.max_body_bytes);
    if (link->buffer.size() > 0) {
      ReadRequest(link);
      return;
    }
    // The first bytes are awaited apart, since a connection may be idle for
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
    if (link->place == connections.end()) return;
    connections.splice(connections.end(), connections, link->place);
    link->answering = true;
    ++open_requests;
    link->stream.expires_never();
    http::request<http::string_body> message = link->parser->release();
    const bool keep = message.keep_alive();
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
    handle(std::move(request),
           [self = shared_from_this(), link, keep](server_response answer) {
             --self->open_requests;
             self->Write(link, std::move(answer), keep);
           });
  }

  void Write(const connection_ptr& link, server_response answer, bool keep) {
    if (link->place == connections.end()) return;
    http::response<http::string_body>& response = link->response;
    response = {};
    response.version(11);
    response.result(static_cast<unsigned>(answer.status));
    for (const auto& [name, value] : answer.headers) response.set(name, value);
    if (!answer.body.empty()) {
      response.set(http::field::content_type, "application/json");
    }
    response.keep_alive(keep && !draining);
    response.body() = std::move(answer.body);
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

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  async_http_server_options options;
  handler handle;
  std::string address;
  std::list<connection_ptr> connections;
  std::size_t open_requests = 0;
  bool draining = false;
};

async_http_server::async_http_server(event_loop& loop,
                                     async_http_server_options options,
                                     handler handle)
    : internal_(std::make_shared<internal>(loop, std::move(options),
                                           std::move(handle))) {}

async_http_server::~async_http_server() {
  failure_code ignored;
  internal_->acceptor.close(ignored);
}

core::result<void> async_http_server::Start() {
  const std::string& wanted = internal_->options.address;
  const auto endpoint = detail::ParseEndpoint(wanted);
  if (!endpoint) {
    return core::Failure(core::error_code::kInvalidSettings,
                         "'" + wanted + "' is not an address");
  }
  failure_code failure;
  asio::ip::tcp::acceptor& acceptor = internal_->acceptor;
  acceptor.open(asio::ip::tcp::v4(), failure);
  if (!failure) {
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) acceptor.bind(*endpoint, failure);
  if (!failure) acceptor.listen(kListenBacklog, failure);
  if (!failure) acceptor.non_blocking(true, failure);
  if (failure) {
    return core::Failure(
        core::error_code::kInvalidSettings,
        "cannot listen on " + wanted + ": " + failure.message());
  }
  const auto taken = acceptor.local_endpoint();
  internal_->address =
      taken.address().to_string() + ":" + std::to_string(taken.port());
  internal_->Accept();
  return {};
}

const std::string& async_http_server::Address() const {
  return internal_->address;
}

void async_http_server::SetLimits(const request_limits& limits) {
  internal_->options.limits = limits;
}

void async_http_server::Drain() { internal_->draining = true; }

std::size_t async_http_server::OpenRequests() const {
  return internal_->open_requests;
}

}  // namespace waxwingfront::net
