#include "waxwingfront/fleet/start_queue.h"

#include <utility>

#include "waxwingfront/fleet/link_speed.h"

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
    : max_in_flight_(BytesOnLink(options.link_mbps, options.max_link_time)),
      max_backlog_(BytesOnLink(options.link_mbps, options.max_backlog_time)) {}

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
  lane& where = LaneOf(order);
  where.waiting.push_back(std::move(order));
}

std::vector<start_order> start_queue::Take() {
  std::vector<start_order> taken;
  for (lane& from : lanes_) {
    TakeFrom(from, taken);
    if (!from.waiting.empty()) break;
  }
  return taken;
}

start_queue::lane& start_queue::LaneOf(const start_order& order) {
  if (!order.long_running) return lanes_[kShort];
  return lanes_[order.run > 1 ? kInterrupted : kLongRunning];
}

void start_queue::TakeFrom(lane& from, std::vector<start_order>& taken) {
  while (!from.waiting.empty()) {
    const std::size_t bytes = BytesOf(from.waiting.front());
    // A start that is larger than the limit is sent alone.
    if (max_in_flight_ && from.bytes_in_flight > 0 &&
        from.bytes_in_flight + bytes > *max_in_flight_) {
      return;
    }
    start_order order = std::move(from.waiting.front());
    from.waiting.pop_front();
    order.number = ++last_number_;
    from.bytes_in_flight += bytes;
    in_flight_[order.number] = bytes;
    taken.push_back(std::move(order));
  }
}

void start_queue::OnResponse(const start_order& order) {
  const auto found = in_flight_.find(order.number);
  if (found == in_flight_.end()) return;
  LaneOf(order).bytes_in_flight -= found->second;
  in_flight_.erase(found);
}

start_queue_levels start_queue::Levels() const {
  start_queue_levels levels{.backlog_bytes = backlog_bytes_};
  for (const lane& one : lanes_) {
    levels.waiting += one.waiting.size();
    levels.bytes_in_flight += one.bytes_in_flight;
  }
  return levels;
}

}  // namespace waxwingfront::fleet
