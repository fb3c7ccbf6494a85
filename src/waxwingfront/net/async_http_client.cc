#include "waxwingfront/net/async_http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "waxwingfront/net/detail/ipv4_endpoint.h"

namespace waxwingfront::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using failure_code = boost::system::error_code;

// An answer larger than this is refused; the largest is a page of the store.
constexpr std::uint64_t kMaxAnswerBytes = 8ULL * 1024 * 1024;
// Bytes taken from a socket at once: the usual answer whole, and of a large one
// this much, since each piece takes a pass of the loop.
constexpr std::size_t kUsualReadBytes = 4 * 1024;
constexpr std::size_t kLargeReadBytes = 64 * 1024;

// One connection and the call that it carries.
struct connection {
  explicit connection(asio::io_context& context) : stream(context) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  std::string address;
  core::monotonic_time idle_since;
};

}  // namespace

struct async_http_client::internal
    : std::enable_shared_from_this<async_http_client::internal> {
  using connection_ptr = std::shared_ptr<connection>;

  internal(event_loop& event_loop, async_http_client_options chosen)
      : loop(event_loop), options(chosen) {}

  connection_ptr TakeIdle(const std::string& address) {
    std::vector<connection_ptr>& list = idle[address];
    while (!list.empty()) {
      connection_ptr link = std::move(list.back());
      list.pop_back();
      if (core::Now() - link->idle_since < options.max_idle_time) return link;
    }
    return nullptr;
  }

  void KeepIdle(connection_ptr link) {
    std::vector<connection_ptr>& list = idle[link->address];
    if (list.size() >= options.max_idle_per_address) return;
    link->stream.expires_never();
    link->idle_since = core::Now();
    list.push_back(std::move(link));
  }

  void Fail(const connection_ptr& link, const callback& done,
            core::error_code code, const failure_code& cause) {
    idle.erase(link->address);
    --totals.in_flight;
    ++totals.failed;
    done(core::Failure(code, link->address + ": " + cause.message()));
  }

  void Write(connection_ptr link, callback done) {
    connection& used = *link;
    http::async_write(
        used.stream, used.request,
        [self = shared_from_this(), link = std::move(link),
         done = std::move(done)](const failure_code& failure,
                                 std::size_t sent) {
          self->totals.sent_bytes += sent;
          if (failure) {
            self->Fail(link, done, core::error_code::kOutcomeUnknown, failure);
            return;
          }
          self->Read(link, done);
        });
  }

  void Read(const connection_ptr& link, const callback& done) {
    link->parser.emplace();
    link->parser->body_limit(kMaxAnswerBytes);
    link->buffer.reserve(kUsualReadBytes);
    http::async_read_header(
        link->stream, link->buffer, *link->parser,
        [self = shared_from_this(), link, done](const failure_code& failure,
                                                std::size_t received) {
          self->totals.received_bytes += received;
          if (failure) {
            self->Fail(link, done, core::error_code::kOutcomeUnknown, failure);
            return;
          }
          self->ReadBody(link, done);
        });
  }

  void ReadBody(const connection_ptr& link, const callback& done) {
    if (link->parser->is_done()) {
      Finish(link, done);
      return;
    }
    if (link->parser->content_length().value_or(kLargeReadBytes) >
        kUsualReadBytes) {
      link->buffer.reserve(kLargeReadBytes);
    }
    http::async_read(link->stream, link->buffer, *link->parser,
                     [self = shared_from_this(), link, done](
                         const failure_code& failure, std::size_t received) {
                       self->totals.received_bytes += received;
                       if (failure) {
                         self->Fail(link, done,
                                    core::error_code::kOutcomeUnknown, failure);
                         return;
                       }
                       self->Finish(link, done);
                     });
  }

  void Finish(const connection_ptr& link, const callback& done) {
    http::response<http::string_body> answer = link->parser->release();
    http_reply reply{.status = static_cast<int>(answer.result_int()),
                     .body = std::move(answer.body())};
    if (answer.keep_alive()) KeepIdle(link);
    --totals.in_flight;
    done(std::move(reply));
  }

  event_loop& loop;
  async_http_client_options options;
  std::map<std::string, std::vector<connection_ptr>> idle;
  client_totals totals;
};

async_http_client::async_http_client(event_loop& loop,
                                     async_http_client_options options)
    : internal_(std::make_shared<internal>(loop, options)) {}

async_http_client::~async_http_client() = default;

client_totals async_http_client::Totals() const { return internal_->totals; }

void async_http_client::Send(http_call call, callback done) {
  internal::connection_ptr link = internal_->TakeIdle(call.address);
  const bool connected = link != nullptr;
  if (!connected) {
    link = std::make_shared<connection>(internal_->loop.Context());
    link->address = call.address;
  }
  link->request = {};
  link->request.method_string(call.method);
  link->request.target(call.target);
  link->request.version(11);
  link->request.set(http::field::host,
                    call.host.empty() ? call.address : call.host);
  for (const auto& [name, value] : call.headers) {
    link->request.set(name, value);
  }
  if (!call.body.empty()) {
    link->request.set(http::field::content_type, "application/json");
  }
  link->request.body() = std::move(call.body);
  link->request.prepare_payload();
  link->stream.expires_after(call.timeout);
  if (connected) {
    ++internal_->totals.in_flight;
    internal_->Write(std::move(link), std::move(done));
    return;
  }
  const auto endpoint = detail::ParseEndpoint(call.address);
  if (!endpoint) {
    internal_->loop.Post([done = std::move(done), address = call.address] {
      done(core::Failure(core::error_code::kUnreachable,
                         "'" + address + "' is not an address"));
    });
    return;
  }
  ++internal_->totals.in_flight;
  ++internal_->totals.connections;
  connection& opened = *link;
  opened.stream.async_connect(
      *endpoint, [self = internal_, link = std::move(link),
                  done = std::move(done)](const failure_code& failure) {
        if (failure) {
          self->Fail(link, done, core::error_code::kUnreachable, failure);
          return;
        }
        link->stream.socket().set_option(asio::ip::tcp::no_delay(true));
        self->Write(link, done);
      });
}

}  // namespace waxwingfront::net
