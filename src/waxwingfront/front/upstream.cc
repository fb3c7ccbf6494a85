#include "waxwingfront/front/upstream.h"

#include <Poco/Net/HTTPRequest.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "waxwingfront/front/detail/response_reader.h"
#include "waxwingfront/front/detail/upstream_connection.h"
#include "waxwingfront/front/slot_share.h"
#include "waxwingfront/net/http_status.h"

namespace waxwingfront::front {
namespace {

constexpr std::string_view kNotStartedHeader = "waxwingfront-not-started";
constexpr std::string_view kDeadlineHeader = "Waxwingfront-Deadline-Ms";
constexpr std::string_view kRequestIdHeader = "Waxwingfront-Request-Id";
// The peer of a connection that was idle for longer may be gone without notice.
// Idempotent requests can be retried after that; others cannot, so they use a
// connection with a recent response or a new one.
constexpr core::milliseconds kMaxIdleForNonIdempotent{1000};
constexpr int kFailuresUntilSuspect = 3;
constexpr core::milliseconds kSuspectDuration{1000};
// For this long after a rejection only this entry's own slots of the executor
// are used. A few service times, so that overload does not cause a series of
// rejections.
constexpr core::milliseconds kOwnSlotsOnlyDuration{100};

core::milliseconds TimeLeft(core::monotonic_time limit) {
  return std::chrono::duration_cast<core::milliseconds>(limit - core::Now());
}

// Returns the bytes of the request as sent to `address`.
std::string ToHttp(const service_request& request, const std::string& address) {
  Poco::Net::HTTPRequest http(request.method, request.path,
                              Poco::Net::HTTPMessage::HTTP_1_1);
  for (const auto& [name, value] : request.headers) http.add(name, value);
  http.set(std::string(kDeadlineHeader),
           std::to_string(TimeLeft(request.deadline).count()));
  http.set(std::string(kRequestIdHeader), request.id);
  http.set("Host", address);
  http.setKeepAlive(true);
  http.setContentLength(static_cast<std::streamsize>(request.body.size()));
  std::ostringstream text;
  http.write(text);
  return text.str() + request.body;
}

bool IsNotStarted(const service_reply& reply) {
  if (reply.status != net::kHttpServiceUnavailable) return false;
  return std::any_of(
      reply.headers.begin(), reply.headers.end(), [](const auto& header) {
        return EqualsIgnoringCase(header.first, kNotStartedHeader) &&
               header.second == "1";
      });
}

}  // namespace

upstream::upstream(upstream_options options)
    : options_(std::move(options)),
      own_slots_(options_.executor.slots),
      connection_limit_(options_.executor.connections) {}

upstream::~upstream() = default;

void upstream::UpdateShare(std::span<const std::string> entries,
                           std::string_view self) {
  const hosts::executor_info& executor = options_.executor;
  const int limit = ConnectionLimit(executor.connections, entries);
  const int own = front::OwnSlots(executor.id, executor.slots, entries, self);
  connection_limit_.store(limit, std::memory_order_relaxed);
  own_slots_.store(std::min(own, limit), std::memory_order_relaxed);
}

int upstream::UsableSlots(core::monotonic_time now) const {
  const bool own_slots_only =
      now.time_since_epoch().count() <
      own_slots_only_until_.load(std::memory_order_relaxed);
  if (own_slots_only) return OwnSlots();
  return std::min(options_.executor.slots,
                  connection_limit_.load(std::memory_order_relaxed));
}

bool upstream::TryAcquireSlot(int limit) {
  int in_use = outstanding_.load(std::memory_order_relaxed);
  while (in_use < limit) {
    if (outstanding_.compare_exchange_weak(in_use, in_use + 1)) return true;
  }
  return false;
}

void upstream::ReleaseSlot() { outstanding_.fetch_sub(1); }

bool upstream::IsSuspect(core::monotonic_time now) const {
  return now.time_since_epoch().count() <
         suspect_until_.load(std::memory_order_relaxed);
}

void upstream::RecordOutcome(const core::result<service_reply>& reply) {
  const core::monotonic_time now = core::Now();
  if (!reply && reply.error().code == core::error_code::kOverloaded) {
    own_slots_only_until_.store(
        (now + kOwnSlotsOnlyDuration).time_since_epoch().count(),
        std::memory_order_relaxed);
  }
  const bool responded =
      reply || reply.error().code == core::error_code::kOverloaded;
  if (responded) {
    consecutive_failures_.store(0, std::memory_order_relaxed);
    return;
  }
  if (consecutive_failures_.fetch_add(1) + 1 < kFailuresUntilSuspect) return;
  suspect_until_.store((now + kSuspectDuration).time_since_epoch().count(),
                       std::memory_order_relaxed);
}

upstream::connection upstream::TakeIdle(const service_request& request) {
  const std::lock_guard lock(mutex_);
  while (!idle_.empty()) {
    connection candidate = std::move(idle_.back());
    idle_.pop_back();
    const bool recent =
        core::Now() - candidate->LastResponseAt() < kMaxIdleForNonIdempotent;
    // Unsolicited bytes or the end of the connection make it unusable.
    if (candidate->HasNoPendingInput() && (request.idempotent || recent)) {
      return candidate;
    }
  }
  return nullptr;
}

void upstream::KeepIdle(connection link) {
  link->MarkResponseReceived();
  const std::lock_guard lock(mutex_);
  const auto limit = static_cast<std::size_t>(
      connection_limit_.load(std::memory_order_relaxed));
  if (idle_.size() < limit) idle_.push_back(std::move(link));
}

void upstream::DropIdle() {
  const std::lock_guard lock(mutex_);
  idle_.clear();
}

core::result<upstream::connection> upstream::TakeConnection(
    const service_request& request, core::monotonic_time limit) {
  if (connection idle = TakeIdle(request)) return idle;
  return detail::upstream_connection::Connect(
      options_.executor.address,
      std::min(options_.connect_timeout, TimeLeft(limit)));
}

core::result<service_reply> upstream::Send(const service_request& request,
                                           core::monotonic_time limit) {
  core::result<connection> link = TakeConnection(request, limit);
  core::result<service_reply> reply = tl::unexpected(core::error{});
  if (link) {
    reply = Exchange(std::move(*link), request, limit);
  } else {
    reply = tl::unexpected(std::move(link.error()));
  }
  RecordOutcome(reply);
  if (!reply) reply.error().detail.insert(0, options_.executor.id + ": ");
  return reply;
}

core::result<service_reply> upstream::Exchange(connection link,
                                               const service_request& request,
                                               core::monotonic_time limit) {
  const std::string text = ToHttp(request, options_.executor.address);
  if (auto sent = link->Send(text, limit); !sent) {
    return tl::unexpected(std::move(sent.error()));
  }
  detail::response_reader reader({.has_body = request.method != "HEAD",
                                  .max_body_bytes = options_.max_body_bytes});
  detail::response_progress progress = detail::response_progress::kNeedMore;
  while (progress == detail::response_progress::kNeedMore) {
    const core::result<std::string> bytes = link->Receive(limit);
    if (!bytes) {
      // Idle connections to the same executor may be dead for the same reason.
      DropIdle();
      return tl::unexpected(bytes.error());
    }
    progress = reader.Feed(*bytes);
  }
  if (progress == detail::response_progress::kInvalid) {
    return core::Failure(core::error_code::kOutcomeUnknown,
                         "the answer is malformed or too large");
  }
  if (reader.IsConnectionReusable()) KeepIdle(std::move(link));
  service_reply reply = reader.Take();
  if (IsNotStarted(reply)) {
    return core::Failure(core::error_code::kOverloaded, "no free slot");
  }
  return reply;
}

}  // namespace waxwingfront::front
