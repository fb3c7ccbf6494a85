#include "waxwingfront/fleet/start_queue.h"

#include <algorithm>
#include <utility>

#include "waxwingfront/fleet/link_speed.h"
#include "waxwingfront/fleet/run_outcome.h"

namespace waxwingfront::fleet {
namespace {

// Headers, framing and packets of a start.
constexpr std::size_t kStartOverheadBytes = 500;

std::size_t BytesOf(const start_order& order) {
  return order.payload.size() + order.checkpoint.size() + order.permit.size() +
         kStartOverheadBytes;
}

}  // namespace

std::size_t StartBytesOf(const task_state& task) {
  return task.job->Spec().payload().size() + task.checkpoint.size() +
         kStartOverheadBytes;
}

start_queue::start_queue(start_queue_options options)
    : options_(options),
      max_in_flight_(BytesOnLink(options.link_mbps, options.max_link_time)),
      max_backlog_(BytesOnLink(options.link_mbps, options.max_backlog_time)),
      unread_({.max_bytes = BytesOnLink(options.link_mbps, options.max_silence)
                                .value_or(0)}) {}

void start_queue::OnPlaced(task_state& task) {
  if (task.Spec().long_running()) return;
  task.start_backlog_bytes = StartBytesOf(task);
  backlog_bytes_ += task.start_backlog_bytes;
}

void start_queue::Withdraw(task_state& task) {
  backlog_bytes_ -= std::exchange(task.start_backlog_bytes, 0);
}

bool start_queue::IsFull() const {
  return max_backlog_ && backlog_bytes_ >= *max_backlog_;
}

void start_queue::Add(start_order order) {
  lane& urgency_lane = lanes_[UrgencyOf(order)];
  Insert(urgency_lane.waiting, std::move(order));
}

void start_queue::Insert(std::deque<start_order>& waiting, start_order order) {
  const auto place =
      std::upper_bound(waiting.rbegin(), waiting.rend(), order.placed_at,
                       [](core::monotonic_time at, const start_order& other) {
                         return at >= other.placed_at;
                       });
  waiting.insert(place.base(), std::move(order));
}

std::vector<start_order> start_queue::Take(core::monotonic_time now) {
  ReleaseCarried(now);
  bytes_ahead_ = std::min(unread_.Room(), BytesMissed(now));
  std::vector<start_order> taken;
  for (const urgency of : {kInterrupted, kLongRunning, kShort}) {
    TakeFrom(of, now, taken);
    if (!lanes_[of].waiting.empty()) break;
  }
  next_room_ = NextRoom();
  return taken;
}

start_queue::urgency start_queue::UrgencyOf(const start_order& order) {
  if (!order.long_running) return kShort;
  return order.run > 1 ? kInterrupted : kLongRunning;
}

void start_queue::TakeFrom(urgency of, core::monotonic_time now,
                           std::vector<start_order>& taken) {
  lane& from = lanes_[of];
  while (!from.waiting.empty()) {
    const std::size_t bytes = BytesOf(from.waiting.front());
    // A start that is larger than the limit is sent alone.
    if (max_in_flight_ && from.bytes_in_flight > 0 &&
        from.bytes_in_flight + bytes > *max_in_flight_ &&
        bytes_in_flight_ + bytes > *max_in_flight_ + bytes_ahead_) {
      return;
    }
    start_order order = std::move(from.waiting.front());
    from.waiting.pop_front();
    executor_starts& others = by_executor_[order.executor];
    if (max_per_executor_ && others.unanswered >= *max_per_executor_) {
      Insert(others.behind, std::move(order));
      continue;
    }
    ++others.unanswered;
    order.number = ++last_number_;
    unanswered_.emplace(order.number, order.executor);
    RecordSent(order.number,
               {.of = of, .bytes = bytes, .sent = now, .carried = {}});
    taken.push_back(std::move(order));
  }
}

void start_queue::RecordSent(std::uint64_t number, sent_start start) {
  // Responses show that the link has carried more than its nominal speed lets
  // expect.
  const core::monotonic_time others_carried =
      std::min(std::max(all_carried_, start.sent),
               start.sent + TimeOnLink(options_.link_mbps, bytes_in_flight_));
  start.carried = others_carried + TimeOnLink(options_.link_mbps, start.bytes);
  all_carried_ = start.carried;
  lanes_[start.of].bytes_in_flight += start.bytes;
  bytes_in_flight_ += start.bytes;
  in_flight_.emplace(number, start);
}

void start_queue::Release(sent_starts::iterator start) {
  lanes_[start->second.of].bytes_in_flight -= start->second.bytes;
  bytes_in_flight_ -= start->second.bytes;
  in_flight_.erase(start);
}

core::monotonic_time start_queue::LeavesLink(
    const sent_starts::value_type& start) const {
  const auto& [number, sent] = start;
  if (number < last_answered_ || sent.bytes <= unread_.Room()) {
    return sent.carried;
  }
  return std::max(sent.carried,
                  std::max(sent.sent, last_response_) + options_.max_silence);
}

void start_queue::ReleaseCarried(core::monotonic_time now) {
  unread_.EndReading(now);
  unread_.RemoveBefore(last_answered_);
  while (!in_flight_.empty() && LeavesLink(*in_flight_.begin()) <= now) {
    const auto first = in_flight_.begin();
    const auto& [number, sent] = *first;
    if (number > last_answered_) unread_.Add(number, sent.bytes);
    Release(first);
  }
}

std::size_t start_queue::BytesMissed(core::monotonic_time now) const {
  if (!next_room_ || *next_room_ >= now) return 0;
  const auto late = std::chrono::floor<core::milliseconds>(now - *next_room_);
  return BytesOnLink(options_.link_mbps, late).value_or(0);
}

std::optional<core::monotonic_time> start_queue::NextRoom() const {
  const bool waits = std::ranges::any_of(
      lanes_, [](const lane& one) { return !one.waiting.empty(); });
  if (!waits || in_flight_.empty()) return std::nullopt;
  return LeavesLink(*in_flight_.begin());
}

void start_queue::OnResponse(const start_order& order, start_outcome outcome,
                             core::monotonic_time now) {
  std::size_t bytes = unread_.Remove(order.number);
  const auto found = in_flight_.find(order.number);
  if (found != in_flight_.end()) {
    bytes = found->second.bytes;
    Release(found);
  }
  if (SentByExecutor(outcome)) {
    last_answered_ = std::max(last_answered_, order.number);
    last_response_ = now;
    unread_.OnRead(bytes);
  }
  OnAnswered(order.number);
}

void start_queue::OnAnswered(std::uint64_t number) {
  const auto answered = unanswered_.find(number);
  if (answered == unanswered_.end()) return;
  const auto found = by_executor_.find(answered->second);
  unanswered_.erase(answered);
  executor_starts& others = found->second;
  --others.unanswered;
  const auto next = std::ranges::min_element(others.behind, {}, UrgencyOf);
  if (next != others.behind.end()) {
    start_order order = std::move(*next);
    others.behind.erase(next);
    Add(std::move(order));
  } else if (others.unanswered == 0) {
    by_executor_.erase(found);
  }
}

start_queue_levels start_queue::Levels() const {
  start_queue_levels levels{.backlog_bytes = backlog_bytes_,
                            .bytes_in_flight = bytes_in_flight_};
  for (const lane& one : lanes_) levels.waiting += one.waiting.size();
  for (const auto& [id, starts] : by_executor_) {
    levels.behind_others += starts.behind.size();
  }
  return levels;
}

}  // namespace waxwingfront::fleet
