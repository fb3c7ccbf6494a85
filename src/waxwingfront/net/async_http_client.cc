#include "waxwingfront/net/async_http_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "waxwingfront/net/detail/client_connection.h"
#include "waxwingfront/net/detail/connection_pool.h"
#include "waxwingfront/net/detail/ipv4_endpoint.h"
#include "waxwingfront/net/detail/waiting_calls.h"

namespace waxwingfront::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using detail::call_stage;
using connection = detail::client_connection;
using failure_code = boost::system::error_code;

// Larger responses are rejected. The largest expected one is a page of the
// store.
constexpr std::uint64_t kMaxResponseBytes = 8ULL * 1024 * 1024;
// A timer that fires later than this shows that the event loop was busy.
constexpr core::milliseconds kTimerTolerance{20};

}  // namespace

struct async_http_client::internal
    : std::enable_shared_from_this<async_http_client::internal> {
  using connection_ptr = detail::client_connection_ptr;

  struct limited_address {
    std::size_t max_connections = 0;
    // The server resets new connections, presumably until then.
    core::monotonic_time full_until{};
    detail::waiting_calls calls;
  };

  internal(event_loop& event_loop, async_http_client_options client_options)
      : loop(event_loop),
        options(client_options),
        pool({.max_idle_per_address = client_options.max_idle_per_address,
              .max_idle_time = client_options.max_idle_time}),
        timer(event_loop.Context()),
        idle_timer(event_loop.Context()) {}

  void KeepIdle(connection_ptr link) {
    pool.KeepIdle(std::move(link), core::Now());
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
    pool.CloseOutdated(core::Now());
    std::erase_if(limited,
                  [](const auto& entry) { return entry.second.calls.Empty(); });
    idle_sweep_armed = false;
    if (pool.HasIdle()) ArmIdleSweep();
  }

  void SendWaiting(const std::string& address) {
    while (true) {
      const auto found = limited.find(address);
      if (found == limited.end()) return;
      auto next = found->second.calls.Take(MaxConnections(address));
      if (!next) return;
      --totals.waiting;
      const bool in_time = core::Now() - next->since <= next->call.timeout;
      if (in_time && (!next->call.may_send || next->call.may_send())) {
        Begin(std::move(next->call), std::move(next->done));
        continue;
      }
      found->second.calls.OnEnd(next->call.turn);
      if (!in_time) ++totals.expired;
      loop.Post([done = std::move(next->done), address, in_time] {
        done(in_time ? core::Failure(core::error_code::kNotRun,
                                     address + ": the call was withdrawn")
                     : core::Failure(
                           core::error_code::kOverloaded,
                           address + ": no connection became free in time"));
      });
    }
  }

  // Returns how many connections calls to the limited address may use.
  std::size_t MaxConnections(const std::string& address) {
    const limited_address& at = limited[address];
    if (core::Now() >= at.full_until) return at.max_connections;
    return std::clamp<std::size_t>(pool.CountUsable(address), 1,
                                   at.max_connections);
  }

  // The call on the connection has succeeded or failed.
  void EndTurn(connection& link) {
    if (const auto turn = std::exchange(link.turn, std::nullopt)) {
      limited[link.address].calls.OnEnd(*turn);
    }
  }

  // Sends the call on an idle connection, or on a new one.
  void Begin(http_call call, callback done) {
    const bool is_limited = call.max_connections > 0;
    connection_ptr link = pool.TakeIdle(call.address);
    const bool connected = link != nullptr;
    if (!connected) {
      link = std::make_shared<connection>(loop.Context());
      link->address = call.address;
    }
    link->turn = is_limited ? std::optional(call.turn) : std::nullopt;
    link->SetRequest(call);
    if (connected) {
      BeginCall(link, call, std::move(done));
      Write(link);
      return;
    }
    const auto endpoint = detail::ParseEndpoint(call.address);
    if (!endpoint) {
      loop.Post([self = shared_from_this(), link, done = std::move(done)] {
        self->EndTurn(*link);
        done(core::Failure(core::error_code::kUnreachable,
                           "'" + link->address + "' is not an address"));
        self->SendWaiting(link->address);
      });
      return;
    }
    if (is_limited) {
      while (pool.CountOpen(call.address) >= call.max_connections &&
             pool.CloseUnanswered(call.address)) {
      }
    }
    BeginCall(link, call, std::move(done));
    Open(link, *endpoint);
    if (is_limited) pool.Track(link);
  }

  void Open(const connection_ptr& link,
            const asio::ip::tcp::endpoint& endpoint) {
    ++totals.connections;
    link->stage = call_stage::kConnecting;
    link->socket.async_connect(
        endpoint, [self = shared_from_this(), link](const failure_code& error) {
          if (error) {
            self->Fail(*link, error);
            return;
          }
          failure_code ignored;
          link->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
          link->socket.non_blocking(true, ignored);
          link->RestartStep(core::Now());
          self->Write(link);
        });
  }

  void Write(const connection_ptr& link) {
    failure_code error;
    totals.sent_bytes += link->BeginWrite(error);
    if (error == asio::error::would_block) {
      http::async_write(link->socket, *link->serializer,
                        [self = shared_from_this(), link](
                            const failure_code& failure, std::size_t sent) {
                          self->totals.sent_bytes += sent;
                          self->OnWritten(link, failure);
                        });
    } else if (error) {
      loop.Post([self = shared_from_this(), link, error] {
        self->OnWritten(link, error);
      });
    } else {
      OnWritten(link, error);
    }
  }

  void OnWritten(const connection_ptr& link, const failure_code& error) {
    if (error) {
      Fail(*link, error);
      return;
    }
    link->RestartStep(core::Now());
    link->stage = call_stage::kReading;
    link->parser.emplace();
    link->parser->body_limit(kMaxResponseBytes);
    link->parser->eager(true);
    Read(link);
  }

  void Read(const connection_ptr& link) {
    link->buffer.reserve(link->ReadBytes());
    http::async_read_some(link->socket, link->buffer, *link->parser,
                          [self = shared_from_this(), link](
                              const failure_code& error, std::size_t received) {
                            self->totals.received_bytes += received;
                            if (error) {
                              self->Fail(*link, error);
                            } else if (link->parser->is_done()) {
                              self->Finish(link);
                            } else {
                              link->RestartStep(core::Now());
                              self->Read(link);
                            }
                          });
  }

  void Finish(const connection_ptr& link) {
    http::response<http::string_body> response = link->parser->release();
    http_reply reply{.status = static_cast<int>(response.result_int()),
                     .body = std::move(response.body()),
                     .begun = link->begun};
    link->stage = call_stage::kIdle;
    const callback done = std::exchange(link->done, nullptr);
    const auto on_late_response =
        std::exchange(link->on_late_response, nullptr);
    link->has_responded = true;
    // `done` may use the connection for another call.
    EndTurn(*link);
    if (response.keep_alive()) KeepIdle(link);
    if (done) {
      --totals.in_flight;
      done(std::move(reply));
      SendWaiting(link->address);
    } else if (on_late_response) {
      on_late_response(std::move(reply));
    }
  }

  // Reports the call as failed without closing the connection, on which a late
  // response may follow if the request was sent.
  void Abandon(connection& link, const std::string& cause) {
    const callback done = std::exchange(link.done, nullptr);
    if (!done) return;
    // A server that has no room for another connection serves those it has.
    if (!link.was_rejected) pool.CloseIdle(link.address);
    --totals.in_flight;
    ++totals.failed;
    EndTurn(link);
    done(core::Failure(link.stage == call_stage::kConnecting
                           ? core::error_code::kUnreachable
                           : core::error_code::kOutcomeUnknown,
                       link.address + ": " + cause));
    SendWaiting(std::string(link.address));
  }

  void Close(connection& link) {
    link.on_late_response = nullptr;
    failure_code ignored;
    link.socket.close(ignored);
  }

  void Fail(connection& link, const failure_code& error) {
    const bool reset = error == asio::error::connection_reset ||
                       error == asio::error::broken_pipe;
    link.was_rejected = reset && !link.has_responded;
    if (link.was_rejected) {
      ++totals.resets;
      if (const auto at = limited.find(link.address); at != limited.end()) {
        at->second.full_until = core::Now() + options.full_time;
      }
    }
    Fail(link, error.message());
  }

  // Closes the connection and reports its call as failed.
  void Fail(connection& link, const std::string& cause) {
    Close(link);
    Abandon(link, cause);
    link.stage = call_stage::kIdle;
  }

  void BeginCall(const connection_ptr& link, http_call& call, callback done) {
    ++totals.in_flight;
    link->Begin(call, std::move(done), core::Now());
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
    const bool ready = link.IsSocketReady();
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
  detail::connection_pool pool;
  std::map<std::string, limited_address> limited;
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
  totals.idle = internal_->pool.CountIdle();
  return totals;
}

void async_http_client::Send(http_call call, callback done) {
  if (call.max_connections == 0) {
    internal_->Begin(std::move(call), std::move(done));
    return;
  }
  const std::string address = call.address;
  internal::limited_address& at = internal_->limited[address];
  at.max_connections = call.max_connections;
  at.calls.Add(
      {.call = std::move(call), .done = std::move(done), .since = core::Now()});
  ++internal_->totals.waiting;
  internal_->SendWaiting(address);
}

}  // namespace waxwingfront::net
