#include "support/loop_runner.h"

#include <memory>

namespace waxwingfront::tests {
namespace {

constexpr core::milliseconds kPollInterval{5};

}  // namespace

bool RunUntil(net::event_loop& loop, const std::function<bool()>& done,
              core::milliseconds limit) {
  const core::monotonic_time end = core::Now() + limit;
  auto poll = std::make_shared<std::function<void()>>();
  *poll = [&loop, &done, end, again = std::weak_ptr(poll)] {
    if (done() || core::Now() >= end) {
      loop.Stop();
      return;
    }
    const auto next = again.lock();
    if (next) loop.After(kPollInterval, [next] { (*next)(); });
  };
  loop.Post([poll] { (*poll)(); });
  loop.Run();
  return done();
}

void RunFor(net::event_loop& loop, core::milliseconds time) {
  RunUntil(
      loop, [] { return false; }, time);
}

}  // namespace waxwingfront::tests
