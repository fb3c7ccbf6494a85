// Runs an event loop until a test's condition holds.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_LOOP_RUNNER_H_
#define WAXWINGFRONT_TESTS_SUPPORT_LOOP_RUNNER_H_

#include <functional>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::tests {

// Runs `loop` until `done` returns true; returns false if `limit` passes first.
bool RunUntil(net::event_loop& loop, const std::function<bool()>& done,
              core::milliseconds limit = core::milliseconds(10'000));

// Runs `loop` for the duration `time`.
void RunFor(net::event_loop& loop, core::milliseconds time);

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_LOOP_RUNNER_H_
