#include "waxwingfront/fleet/step_permits.h"

#include <utility>

namespace waxwingfront::fleet {
namespace {

// Minimum remaining validity of a ticket: a start waits until its record is
// stored and takes some milliseconds to arrive.
constexpr core::milliseconds kTicketMargin{400};
// Delay after a request without a response; the adviser responds within some
// tens of milliseconds and rejects calls when it is busy.
constexpr core::milliseconds kRetryDelay{150};

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

void step_permits::RecordReply(const advice_reply& reply) {
  in_flight_ = false;
  const core::monotonic_time until = requested_at_ + reply.valid;
  for (const std::string& executor : requested_) refused_.insert(executor);
  for (const advice_reply::permit& row : reply.permits) {
    refused_.erase(row.executor);
    permits_[row.executor] = {.ticket = row.ticket, .until = until};
  }
  requested_.clear();
}

void step_permits::RecordFailure(core::monotonic_time now) {
  in_flight_ = false;
  not_before_ = now + kRetryDelay;
  requested_.clear();
}

std::string_view step_permits::Ticket(std::string_view executor,
                                      core::monotonic_time now) const {
  const auto found = permits_.find(executor);
  if (found == permits_.end() || now + kTicketMargin >= found->second.until) {
    return {};
  }
  return found->second.ticket;
}

void step_permits::RemoveTicket(std::string_view executor) {
  const auto found = permits_.find(executor);
  if (found != permits_.end()) permits_.erase(found);
}

}  // namespace waxwingfront::fleet
