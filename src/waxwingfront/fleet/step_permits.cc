#include "waxwingfront/fleet/step_permits.h"

#include <utility>

namespace waxwingfront::fleet {
namespace {

// A ticket is used only if this much of its time is left: a start waits for its
// record in the store and is on its way for some milliseconds.
constexpr core::milliseconds kTicketMargin{400};
// Pause after a question without an answer; the adviser answers in some tens of
// milliseconds and turns calls away when it is busy.
constexpr core::milliseconds kRetry{150};

}  // namespace

bool step_permits::MayAsk(core::monotonic_time now) const {
  return !in_flight_ && now >= not_before_;
}

void step_permits::Ask(std::vector<std::string> executors,
                       core::monotonic_time now) {
  in_flight_ = true;
  asked_at_ = now;
  asked_ = std::move(executors);
}

void step_permits::Answer(const advice_reply& reply) {
  in_flight_ = false;
  const core::monotonic_time until = asked_at_ + reply.valid;
  for (const std::string& executor : asked_) refused_.insert(executor);
  for (const advice_reply::permit& row : reply.permits) {
    refused_.erase(row.executor);
    permits_[row.executor] = {.ticket = row.ticket, .until = until};
  }
  asked_.clear();
}

void step_permits::Fail(core::monotonic_time now) {
  in_flight_ = false;
  not_before_ = now + kRetry;
  asked_.clear();
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
