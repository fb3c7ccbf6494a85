#include "waxwingfront/fleet/advice_pacer.h"

#include <algorithm>

namespace waxwingfront::fleet {

core::milliseconds advice_pacer::ServiceTime(const advice_request& request) {
  const auto executors = static_cast<std::int64_t>(request.executors.size());
  return request.figures.decision + executors * request.figures.per_executor;
}

bool advice_pacer::HasRoom(core::monotonic_time now) const {
  if (now < paused_until_) return false;
  if (pending_.empty()) return true;
  if (failures_ > 0 || pending_.size() >= options_.max_in_flight) return false;
  return pending_.size() < 2 || outstanding_ < options_.max_ahead;
}

bool advice_pacer::MaySend(const advice_request& request,
                           core::monotonic_time now) const {
  if (!HasRoom(now)) return false;
  return pending_.empty() ||
         outstanding_ + ServiceTime(request) <=
             request.figures.valid - options_.validity_margin;
}

advice_pacer::sent_call advice_pacer::Sent(const advice_request& request,
                                           core::monotonic_time now) {
  const core::milliseconds service = ServiceTime(request);
  outstanding_ += service;
  pending_[++last_number_] = {.sent = now,
                              .service = service,
                              .valid = request.figures.valid,
                              .expected = outstanding_};
  const double factor = std::max(timeout_factor_, options_.min_timeout_factor);
  return {
      .number = last_number_,
      .timeout = std::chrono::ceil<core::milliseconds>(
                     std::chrono::duration<double, std::milli>(outstanding_) *
                     factor) +
                 options_.timeout_slack};
}

core::monotonic_time advice_pacer::Answered(std::uint64_t number,
                                            core::monotonic_time now) {
  const pending_call call = pending_.at(number);
  pending_.erase(number);
  outstanding_ -= call.service;
  failures_ = 0;
  const std::chrono::duration<double> took = now - call.sent;
  const std::chrono::duration<double> expected =
      std::max(call.expected, core::milliseconds(1));
  timeout_factor_ =
      std::clamp(2.0 * (took / expected), options_.min_timeout_factor,
                 options_.max_timeout_factor);
  const core::monotonic_time begin = std::max(call.sent, served_until_);
  const core::monotonic_time end =
      std::max(begin, std::min(begin + call.service, now));
  served_until_ = end;
  const bool leaves_enough =
      call.service + 2 * options_.validity_margin <= call.valid;
  return leaves_enough ? begin : end;
}

void advice_pacer::Failed(std::uint64_t number, core::monotonic_time now) {
  outstanding_ -= pending_.at(number).service;
  pending_.erase(number);
  timeout_factor_ =
      std::min(2.0 * std::max(timeout_factor_, options_.min_timeout_factor),
               options_.max_timeout_factor);
  paused_until_ =
      now + std::min(options_.min_pause * (1 << std::min(failures_, 8)),
                     options_.max_pause);
  ++failures_;
}

}  // namespace waxwingfront::fleet
