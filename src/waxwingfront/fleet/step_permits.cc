#include "waxwingfront/fleet/step_permits.h"

#include <algorithm>
#include <utility>

namespace waxwingfront::fleet {
namespace {

// Delay after a call without usable permits, doubled with each further one.
constexpr core::milliseconds kMinRetryDelay{150};
constexpr core::milliseconds kMaxRetryDelay{1200};
// Time that a response takes to arrive.
constexpr core::milliseconds kResponseDelay{100};

}  // namespace

bool step_permits::MayRequest(core::monotonic_time now) const {
  return !in_flight_ && now >= not_before_;
}

void step_permits::RecordRequest(std::vector<std::string> executors,
                                 core::monotonic_time now) {
  in_flight_ = true;
  requested_at_ = now;
  requested_ = std::move(executors);
}

void step_permits::Withdraw() {
  in_flight_ = false;
  requested_.clear();
}

bool step_permits::RecordReply(const advice_reply& reply,
                               core::monotonic_time now) {
  core::monotonic_time from = reply.valid_from.value_or(requested_at_);
  // The adviser may be slower than stated. Executors reject what is void.
  if (last_were_void_) from = std::max(from, now - kResponseDelay);
  const core::monotonic_time until = from + reply.valid;
  for (const std::string& executor : requested_) refused_.insert(executor);
  for (const advice_reply::permit& row : reply.permits) {
    refused_.erase(row.executor);
    permits_[row.executor] = {.ticket = row.ticket, .until = until};
  }
  Withdraw();
  if (reply.permits.empty()) return true;
  ++unused_calls_;
  last_were_void_ = now + kTicketMargin >= until;
  if (last_were_void_) {
    Delay(now);
  } else {
    failures_ = 0;
  }
  return !last_were_void_;
}

void step_permits::RecordFailure(core::monotonic_time now) {
  Withdraw();
  ++unused_calls_;
  Delay(now);
}

void step_permits::Delay(core::monotonic_time now) {
  constexpr int kMaxDoublings = 8;
  not_before_ =
      now + std::min(kMinRetryDelay * (1 << std::min(failures_, kMaxDoublings)),
                     kMaxRetryDelay);
  ++failures_;
}

std::string_view step_permits::Ticket(std::string_view executor,
                                      core::monotonic_time now,
                                      core::milliseconds margin) const {
  const auto found = permits_.find(executor);
  if (found == permits_.end() || now + margin >= found->second.until) {
    return {};
  }
  return found->second.ticket;
}

void step_permits::RemoveTicket(std::string_view executor) {
  const auto found = permits_.find(executor);
  if (found == permits_.end()) return;
  permits_.erase(found);
  ++unused_calls_;
}

}  // namespace waxwingfront::fleet
