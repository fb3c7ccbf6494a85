#include "waxwingfront/fleet/read_retry.h"

#include <algorithm>
#include <utility>

namespace waxwingfront::fleet {
namespace {

// Bounds the log lines of one read to one in this time.
constexpr core::milliseconds kMaxDelay{2000};
// Longest part of a key that is logged.
constexpr std::size_t kMaxLoggedKeyBytes = 128;

}  // namespace

core::milliseconds read_retry::OnFailure(std::string_view key,
                                         const core::error& cause) {
  if (cause.code != core::error_code::kProtocol) return delay_;
  log_.Write("read_damaged", {{"key", key.substr(0, kMaxLoggedKeyBytes)},
                              {"cause", cause.detail},
                              {"retry_ms", std::int64_t{current_.count()}}});
  return std::exchange(current_, std::min(current_ * 2, kMaxDelay));
}

}  // namespace waxwingfront::fleet
