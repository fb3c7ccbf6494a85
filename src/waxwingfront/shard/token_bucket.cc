#include "waxwingfront/shard/token_bucket.h"

#include <algorithm>

namespace waxwingfront::shard {

token_bucket::token_bucket(double rate, int burst, core::monotonic_time now)
    : rate_(rate), burst_(burst), tokens_(burst), refilled_at_(now) {}

bool token_bucket::TryTake(core::monotonic_time now, int reserve) {
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  tokens_ = std::min(burst_, tokens_ + std::max(0.0, elapsed.count()) * rate_);
  refilled_at_ = now;
  if (tokens_ < 1 + reserve) return false;
  tokens_ -= 1;
  return true;
}

void token_bucket::Return() { tokens_ = std::min(burst_, tokens_ + 1); }

}  // namespace waxwingfront::shard
