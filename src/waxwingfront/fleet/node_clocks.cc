#include "waxwingfront/fleet/node_clocks.h"

#include <ctime>

#include "waxwingfront/core/unix_time.h"

namespace waxwingfront::fleet {

std::int64_t BootTimeMs() {
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::int64_t kNsPerMs = 1'000'000;
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time.tv_sec * kMsPerSecond + time.tv_nsec / kNsPerMs;
}

core::milliseconds SuspendedTime() {
  const auto running = std::chrono::duration_cast<core::milliseconds>(
      core::Now().time_since_epoch());
  return core::milliseconds(BootTimeMs()) - running;
}

moment ReadClocks() { return {.now = core::Now(), .unix_ms = core::UnixMs()}; }

}  // namespace waxwingfront::fleet
