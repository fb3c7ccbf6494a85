// Calls to one address that wait for one of its limited connections.
#ifndef WAXWINGFRONT_NET_DETAIL_WAITING_CALLS_H_
#define WAXWINGFRONT_NET_DETAIL_WAITING_CALLS_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/net/async_http_client.h"

namespace waxwingfront::net::detail {

struct waiting_call {
  http_call call;
  async_http_client::callback done;
  core::monotonic_time since;
};

class waiting_calls {
 public:
  void Add(waiting_call call) {
    queues_[Index(call.call.turn)].push_back(std::move(call));
  }

  // Removes and returns the call to be sent now: the most urgent one that may
  // use one of `limit` connections. It is in progress until `OnEnd`.
  std::optional<waiting_call> Take(std::size_t limit) {
    for (std::size_t turn = 0; turn < kTurns; ++turn) {
      if (queues_[turn].empty() || !MayBegin(turn, limit)) continue;
      waiting_call next = std::move(queues_[turn].front());
      queues_[turn].pop_front();
      ++in_progress_[turn];
      return next;
    }
    return std::nullopt;
  }

  // A call that was taken has succeeded or failed.
  void OnEnd(call_turn turn) { --in_progress_[Index(turn)]; }

  bool Empty() const {
    return InProgress() == 0 &&
           std::ranges::all_of(queues_,
                               [](const auto& queue) { return queue.empty(); });
  }

 private:
  static constexpr std::size_t kTurns = 3;
  static std::size_t Index(call_turn turn) {
    return static_cast<std::size_t>(turn);
  }

  std::size_t InProgress() const {
    return in_progress_[0] + in_progress_[1] + in_progress_[2];
  }

  // A single connection serves all turns; of several, one is left free for
  // reserved calls.
  bool MayBegin(std::size_t turn, std::size_t limit) const {
    if (InProgress() >= limit) return false;
    const std::size_t reserved = Index(call_turn::kReserved);
    return turn == reserved || limit == 1 ||
           InProgress() - in_progress_[reserved] < limit - 1;
  }

  std::array<std::deque<waiting_call>, kTurns> queues_;
  std::array<std::size_t, kTurns> in_progress_{};
};

}  // namespace waxwingfront::net::detail

#endif  // WAXWINGFRONT_NET_DETAIL_WAITING_CALLS_H_
