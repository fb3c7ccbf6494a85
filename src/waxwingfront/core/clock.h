// Time types on the monotonic clock. Time points are comparable on one host
// only.
#ifndef WAXWINGFRONT_CORE_CLOCK_H_
#define WAXWINGFRONT_CORE_CLOCK_H_

#include <chrono>

namespace waxwingfront::core {

using milliseconds = std::chrono::milliseconds;
using monotonic_time = std::chrono::steady_clock::time_point;

inline monotonic_time Now() { return std::chrono::steady_clock::now(); }

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_CLOCK_H_
