#include "waxwingfront/net/async_http_client.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "waxwingfront/net/detail/ipv4_endpoint.h"
#include "waxwingfront/net/detail/socket_readiness.h"

namespace waxwingfront::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using failure_code = boost::system::error_code;

// Larger responses are rejected. The largest expected one is a page of the
// store.
constexpr std::uint64_t kMaxResponseBytes = 8ULL * 1024 * 1024;
// Bytes read from a socket at once. The small size holds a usual response; the
// large one keeps the number of reads of a large response low, since each read
// takes an iteration of the event loop.
constexpr std::size_t kSmallReadBytes = 4UL * 1024;
constexpr std::size_t kLargeReadBytes = 64UL * 1024;
// A timer that fires later than this shows that the event loop was busy.
constexpr core::milliseconds kTimerTolerance{20};

enum class call_stage { kIdle, kConnecting, kWriting, kReading };

// A connection and the call that it carries.
struct connection {
  explicit connection(asio::io_context& context) : socket(context) {}

  asio::ip::tcp::socket socket;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  std::string address;
  core::monotonic_time idle_since;
  // The server has responded on this connection.
  bool has_responded = false;

  call_stage stage = call_stage::kIdle;
  // Null once the call has succeeded or failed.
  async_http_client::callback done;
  std::function<void(http_reply)> on_late_response;
  core::milliseconds timeout{0};
  core::milliseconds late_response_timeout{0};
  // The call fails at `step_deadline` if it makes no progress until then, and
  // at `call_deadline` regardless of progress.
  core::monotonic_time step_deadline;
  core::monotonic_time call_deadline;
  // True if the event loop was late for `step_deadline`, which was extended.
  bool extended = false;
  // Key of the entry in `deadlines` for this connection.
  std::optional<core::monotonic_time> watched_deadline;
};

// True if the socket is ready for the step that the call waits for.
bool IsSocketReady(connection& link) {
  const bool reads = link.stage == call_stage::kReading;
  return detail::IsReady(link.socket.native_handle(), reads ? POLLIN : POLLOUT);
}

}  // namespace

struct async_http_client::internal
    : std::enable_shared_from_this<async_http_client::internal> {
  using connection_ptr = std::shared_ptr<connection>;

  internal(event_loop& event_loop, async_http_client_options client_options)
      : loop(event_loop),
        options(client_options),
        timer(event_loop.Context()),
        idle_timer(event_loop.Context()) {}

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
    link->idle_since = core::Now();
    list.push_back(std::move(link));
    if (!idle_sweep_armed) ArmIdleSweep();
  }

  void ArmIdleSweep() {
    idle_sweep_armed = true;
    idle_timer.expires_after(options.max_idle_time);
    idle_timer.async_wait([self = weak_from_this()](const failure_code& error) {
      const auto alive = self.lock();
      if (!error && alive) alive->CloseOutdatedIdle();
    });
  }

  // Servers that no call goes to any more may be gone for good.
  void CloseOutdatedIdle() {
    const core::monotonic_time now = core::Now();
    for (auto& [address, list] : idle) {
      std::erase_if(list, [&](const connection_ptr& link) {
        return now - link->idle_since >= options.max_idle_time;
      });
    }
    std::erase_if(idle, [](const auto& entry) { return entry.second.empty(); });
    idle_sweep_armed = false;
    if (!idle.empty()) ArmIdleSweep();
  }

  void Open(const connection_ptr& link,
            const asio::ip::tcp::endpoint& endpoint) {
    ++totals.connections;
    link->stage = call_stage::kConnecting;
    link->socket.async_connect(
        endpoint, [self = shared_from_this(), link](const failure_code& error) {
          if (error) {
            self->Fail(*link, error.message());
            return;
          }
          failure_code ignored;
          link->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
          self->OnProgress(*link);
          self->Write(link);
        });
  }

  void Write(const connection_ptr& link) {
    link->stage = call_stage::kWriting;
    http::async_write(link->socket, link->request,
                      [self = shared_from_this(), link](
                          const failure_code& error, std::size_t sent) {
                        self->totals.sent_bytes += sent;
                        if (error) {
                          self->Fail(*link, error);
                          return;
                        }
                        self->OnProgress(*link);
                        link->stage = call_stage::kReading;
                        link->parser.emplace();
                        link->parser->body_limit(kMaxResponseBytes);
                        link->parser->eager(true);
                        self->Read(link);
                      });
  }

  static std::size_t ReadBytes(const connection& link) {
    const bool large = link.parser->is_header_done() &&
                       link.parser->content_length().value_or(kLargeReadBytes) >
                           kSmallReadBytes;
    return large ? kLargeReadBytes : kSmallReadBytes;
  }

  void Read(const connection_ptr& link) {
    link->buffer.reserve(ReadBytes(*link));
    http::async_read_some(link->socket, link->buffer, *link->parser,
                          [self = shared_from_this(), link](
                              const failure_code& error, std::size_t received) {
                            self->totals.received_bytes += received;
                            if (error) {
                              self->Fail(*link, error);
                            } else if (link->parser->is_done()) {
                              self->Finish(link);
                            } else {
                              self->OnProgress(*link);
                              self->Read(link);
                            }
                          });
  }

  void Finish(const connection_ptr& link) {
    http::response<http::string_body> response = link->parser->release();
    http_reply reply{.status = static_cast<int>(response.result_int()),
                     .body = std::move(response.body())};
    link->stage = call_stage::kIdle;
    link->has_responded = true;
    const callback done = std::exchange(link->done, nullptr);
    const auto on_late_response =
        std::exchange(link->on_late_response, nullptr);
    if (response.keep_alive()) KeepIdle(link);
    if (done) {
      --totals.in_flight;
      done(std::move(reply));
    } else if (on_late_response) {
      on_late_response(std::move(reply));
    }
  }

  // Reports the call as failed without closing the connection, on which a late
  // response may follow if the request was sent.
  void Abandon(connection& link, const std::string& cause) {
    const callback done = std::exchange(link.done, nullptr);
    if (!done) return;
    idle.erase(link.address);
    --totals.in_flight;
    ++totals.failed;
    done(core::Failure(link.stage == call_stage::kConnecting
                           ? core::error_code::kUnreachable
                           : core::error_code::kOutcomeUnknown,
                       link.address + ": " + cause));
  }

  void Close(connection& link) {
    link.on_late_response = nullptr;
    failure_code ignored;
    link.socket.close(ignored);
  }

  void Fail(connection& link, const failure_code& error) {
    const bool reset = error == asio::error::connection_reset ||
                       error == asio::error::broken_pipe;
    if (reset && !link.has_responded) ++totals.resets;
    Fail(link, error.message());
  }

  // Closes the connection and reports its call as failed.
  void Fail(connection& link, const std::string& cause) {
    Close(link);
    Abandon(link, cause);
    link.stage = call_stage::kIdle;
  }

  // Restarts the step timeout after the call has completed a step.
  void OnProgress(connection& link) const {
    if (!link.done) return;
    link.extended = false;
    link.step_deadline =
        std::min(core::Now() + link.timeout, link.call_deadline);
  }

  void BeginCall(const connection_ptr& link, http_call& call, callback done) {
    const core::monotonic_time now = core::Now();
    ++totals.in_flight;
    link->done = std::move(done);
    link->on_late_response = std::move(call.on_late_response);
    link->timeout = call.timeout;
    link->late_response_timeout = call.late_response_timeout;
    link->call_deadline =
        now + (call.total_timeout > core::milliseconds(0)
                   ? std::max(call.timeout, call.total_timeout)
                   : 2 * call.timeout);
    link->step_deadline = now + call.timeout;
    link->extended = false;
    WatchDeadline(link);
  }

  void WatchDeadline(const connection_ptr& link) {
    if (link->watched_deadline &&
        *link->watched_deadline <= link->step_deadline)
      return;
    link->watched_deadline = link->step_deadline;
    deadlines.emplace(link->step_deadline, link);
    if (!armed_for || link->step_deadline < *armed_for) ArmTimer();
  }

  void ArmTimer() {
    if (deadlines.empty()) {
      armed_for.reset();
      return;
    }
    armed_for = deadlines.begin()->first;
    timer.expires_at(*armed_for);
    timer.async_wait([self = weak_from_this()](const failure_code& error) {
      const auto alive = self.lock();
      if (!error && alive) alive->OnTimer();
    });
  }

  void OnTimer() {
    const core::monotonic_time now = core::Now();
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
      const core::monotonic_time key = deadlines.begin()->first;
      const connection_ptr link = deadlines.begin()->second.lock();
      deadlines.erase(deadlines.begin());
      if (link == nullptr || link->watched_deadline != key) continue;
      link->watched_deadline.reset();
      if (link->stage == call_stage::kIdle) continue;
      if (link->step_deadline <= now) OnStepDeadline(*link, now, key);
      if (link->stage != call_stage::kIdle) WatchDeadline(link);
    }
    ArmTimer();
  }

  // `due` is when the timer was to fire: since then the event loop was busy.
  void OnStepDeadline(connection& link, core::monotonic_time now,
                      core::monotonic_time due) {
    if (!link.done) {
      Fail(link, std::string());
      return;
    }
    // Time in which the event loop was busy and could neither send nor read
    // does not count against the call, nor does data that has arrived unread.
    // The deadline is extended only once, because the call must stay bounded,
    // unless the next iteration of the loop ends the step. Sending may go on.
    const auto lateness = std::chrono::ceil<core::milliseconds>(now - due);
    const bool ready = IsSocketReady(link);
    if ((!link.extended && (lateness > kTimerTolerance || ready)) ||
        (ready && link.stage != call_stage::kWriting)) {
      link.extended = true;
      link.step_deadline =
          now + std::clamp(lateness, kTimerTolerance, link.timeout);
      link.call_deadline = std::max(link.call_deadline, link.step_deadline);
      return;
    }
    const bool sent = link.stage != call_stage::kConnecting;
    const std::string cause =
        "no answer in " + std::to_string(link.timeout.count()) + " ms";
    if (!link.on_late_response || !sent) {
      Fail(link, cause);
      return;
    }
    link.step_deadline = now + link.late_response_timeout;
    Abandon(link, cause);
  }

  event_loop& loop;
  async_http_client_options options;
  std::map<std::string, std::vector<connection_ptr>> idle;
  std::multimap<core::monotonic_time, std::weak_ptr<connection>> deadlines;
  asio::steady_timer timer;
  // Time at which the timer fires.
  std::optional<core::monotonic_time> armed_for;
  asio::steady_timer idle_timer;
  bool idle_sweep_armed = false;
  client_totals totals;
};

async_http_client::async_http_client(event_loop& loop,
                                     async_http_client_options options)
    : internal_(std::make_shared<internal>(loop, options)) {}

async_http_client::~async_http_client() = default;

client_totals async_http_client::Totals() const {
  client_totals totals = internal_->totals;
  for (const auto& [address, list] : internal_->idle) {
    totals.idle += list.size();
  }
  return totals;
}

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
  const auto endpoint =
      connected ? std::nullopt : detail::ParseEndpoint(call.address);
  if (!connected && !endpoint) {
    internal_->loop.Post([done = std::move(done), address = call.address] {
      done(core::Failure(core::error_code::kUnreachable,
                         "'" + address + "' is not an address"));
    });
    return;
  }
  internal_->BeginCall(link, call, std::move(done));
  if (connected) {
    internal_->Write(link);
  } else {
    internal_->Open(link, *endpoint);
  }
}

}  // namespace waxwingfront::net
