#include "waxwingfront/net/async_http_server.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <list>
#include <optional>
#include <utility>

#include "waxwingfront/net/detail/socket_readiness.h"
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
// How long a connection is read from after its last response.
constexpr core::milliseconds kLingerTime{1000};
// The same at the end of the process, when requests that come too late are to
// fail soon.
constexpr core::milliseconds kLastLingerTime{150};
// How long a connection whose end was announced stays open for requests that
// were on their way.
constexpr core::milliseconds kAnnouncedEndTime{300};
constexpr core::milliseconds kDrainSweepInterval{50};

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
  enum class phase {
    // No byte of the next request has been read.
    kIdle,
    kReading,
    // Until the response is written.
    kHandling,
    kLingering,
  };

  struct connection {
    explicit connection(asio::ip::tcp::socket socket)
        : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    phase state = phase::kReading;
    core::monotonic_time idle_since;
    // The wait for a request was cancelled by `EndIdle`.
    bool ending = false;
    // The peer was told that the connection ends.
    bool end_announced = false;
    std::list<std::shared_ptr<connection>>::iterator position;
  };
  using connection_ptr = std::shared_ptr<connection>;

  internal(net::event_loop& event_loop,
           async_http_server_options server_options, handler request_handler)
      : loop(event_loop),
        options(std::move(server_options)),
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
    while (connections.size() - ending > options.max_connections &&
           EndOldestIdle()) {
    }
    Read(link);
  }

  bool EndOldestIdle() {
    for (const connection_ptr& link : connections) {
      if (link->state != phase::kIdle || link->ending) continue;
      EndIdle(*link);
      return true;
    }
    return false;
  }

  // Closes an idle connection unless it has input. The read operation may have
  // taken a request from the socket already, so its completion decides.
  void EndIdle(connection& link) {
    if (std::exchange(link.ending, true)) return;
    ++ending;
    link.stream.cancel();
  }

  void OnIdleEnd(const connection_ptr& link, const failure_code& failure) {
    const bool cancelled = std::exchange(link->ending, false);
    if (cancelled) --ending;
    if (!failure) {
      ReadRequest(link);
    } else if (cancelled && failure == asio::error::operation_aborted &&
               HasUnreadBytes(*link)) {
      Read(link);
    } else {
      Close(link);
    }
  }

  void Close(const connection_ptr& link) {
    if (link->position == connections.end()) return;
    connections.erase(link->position);
    link->position = connections.end();
    link->stream.close();
  }

  // Ends a connection after its last response. Closing it with unread bytes
  // would reset it, and the peer could lose the response.
  void Linger(const connection_ptr& link) {
    if (link->position == connections.end()) return;
    link->state = phase::kLingering;
    failure_code failure;
    link->stream.socket().shutdown(asio::socket_base::shutdown_send, failure);
    if (failure) {
      Close(link);
      return;
    }
    link->stream.expires_after(finishing ? kLastLingerTime : kLingerTime);
    Discard(link);
  }

  void Discard(const connection_ptr& link) {
    link->buffer.clear();
    link->stream.async_read_some(link->buffer.prepare(kReadBytes),
                                 [self = shared_from_this(), link](
                                     const failure_code& failure, std::size_t) {
                                   if (failure) {
                                     self->Close(link);
                                   } else {
                                     self->Discard(link);
                                   }
                                 });
  }

  static bool HasUnreadBytes(connection& link) {
    return detail::IsReady(link.stream.socket().native_handle(), POLLIN);
  }

  // While draining, a connection remains open until its peer knows of the end,
  // for requests that are on their way.
  void CloseDrained() {
    const core::monotonic_time time = core::Now() - kAnnouncedEndTime;
    for (const connection_ptr& link : connections) {
      const bool drained =
          link->end_announced ? link->idle_since <= time : finishing;
      if (link->state == phase::kIdle && drained) EndIdle(*link);
    }
  }

  void SweepDrained() {
    if (!listener->IsOpen()) return;
    CloseDrained();
    loop.After(kDrainSweepInterval, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->SweepDrained();
    });
  }

  std::size_t Finish() {
    finishing = true;
    // The event loop may be about to pass on an accepted connection.
    const std::size_t accepting = listener->IsOpen() ? 1 : 0;
    if (accepting > 0 && listener->AcceptPending()) listener->StopAccepting();
    CloseDrained();
    return connections.size() + accepting;
  }

  void Read(const connection_ptr& link) {
    link->parser.emplace();
    link->parser->header_limit(options.limits.max_header_bytes);
    link->parser->body_limit(options.limits.max_body_bytes);
    if (link->buffer.size() > 0) {
      ReadRequest(link);
      return;
    }
    // The first bytes are read separately, since a connection may be idle for
    // longer than a request may take.
    link->state = phase::kIdle;
    link->idle_since = core::Now();
    link->stream.expires_after(options.limits.idle_timeout);
    link->stream.async_read_some(
        link->buffer.prepare(kReadBytes),
        [self = shared_from_this(), link](const failure_code& failure,
                                          std::size_t bytes) {
          link->buffer.commit(bytes);
          self->OnIdleEnd(link, failure);
        });
  }

  void ReadRequest(const connection_ptr& link) {
    link->state = phase::kReading;
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
    link->state = phase::kHandling;
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
    const responder respond =
        [self = shared_from_this(), link, keep_alive,
         open = std::make_shared<bool>(true)](server_response reply) {
          if (!std::exchange(*open, false)) return;
          self->Write(link, std::move(reply), keep_alive);
        };
    try {
      handle(std::move(request), respond);
    } catch (const std::exception& failure) {
      if (options.on_exception) options.on_exception(failure.what());
      respond({.status = kHttpInternalServerError});
    }
  }

  bool ExpectsMore(connection& link) const {
    return !finishing || link.buffer.size() > 0 || HasUnreadBytes(link);
  }

  void Write(const connection_ptr& link, server_response reply,
             bool keep_alive) {
    if (link->position == connections.end()) return;
    link->state = phase::kHandling;
    http::response<http::string_body>& response = link->response;
    response = {};
    response.version(11);
    response.result(static_cast<unsigned>(reply.status));
    for (const auto& [name, value] : reply.headers) response.set(name, value);
    if (!reply.body.empty()) {
      response.set(http::field::content_type, "application/json");
    }
    response.keep_alive(keep_alive && !draining);
    link->end_announced = draining;
    response.body() = std::move(reply.body);
    response.prepare_payload();
    link->stream.expires_after(options.limits.idle_timeout);
    http::async_write(link->stream, response,
                      [self = shared_from_this(), link, keep_alive](
                          const failure_code& failure, std::size_t) {
                        if (failure) {
                          self->Close(link);
                        } else if (keep_alive && self->ExpectsMore(*link)) {
                          self->Read(link);
                        } else {
                          self->Linger(link);
                        }
                      });
  }

  net::event_loop& loop;
  async_http_server_options options;
  handler handle;
  std::shared_ptr<detail::tcp_listener> listener;
  std::list<connection_ptr> connections;
  // Number of connections that are `ending`.
  std::size_t ending = 0;
  bool draining = false;
  bool finishing = false;
};

async_http_server::async_http_server(event_loop& loop,
                                     async_http_server_options options,
                                     handler handle)
    : internal_(std::make_shared<internal>(loop, std::move(options),
                                           std::move(handle))) {}

async_http_server::~async_http_server() { internal_->listener->Close(); }

core::result<void> async_http_server::Start() {
  auto started = internal_->listener->Start(internal_->options.address);
  for (const std::string& address : internal_->options.more_addresses) {
    if (started) break;
    started = internal_->listener->Start(address);
  }
  return started;
}

const std::string& async_http_server::Address() const {
  return internal_->listener->Address();
}

void async_http_server::SetLimits(const request_limits& limits) {
  internal_->options.limits = limits;
}

void async_http_server::Drain() {
  internal_->draining = true;
  internal_->SweepDrained();
}

std::size_t async_http_server::Finish() { return internal_->Finish(); }

bool async_http_server::HasUnansweredRequests() const {
  return internal_->listener->HasPending() ||
         std::ranges::any_of(
             internal_->connections, [](const internal::connection_ptr& link) {
               return link->ending ||
                      link->state == internal::phase::kHandling ||
                      (link->state != internal::phase::kLingering &&
                       internal::HasUnreadBytes(*link));
             });
}

}  // namespace waxwingfront::net
