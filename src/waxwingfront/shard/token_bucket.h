// Token bucket rate limiter.
#ifndef WAXWINGFRONT_SHARD_TOKEN_BUCKET_H_
#define WAXWINGFRONT_SHARD_TOKEN_BUCKET_H_

#include "waxwingfront/core/clock.h"

namespace waxwingfront::shard {

class token_bucket {
 public:
  // The bucket starts full. `rate` is in tokens per second.
  token_bucket(double rate, int burst, core::monotonic_time now);

  // Takes one token if at least `reserve` tokens remain afterwards. Returns
  // true if a token was taken.
  bool TryTake(core::monotonic_time now, int reserve = 0);
  // Returns an unused token to the bucket.
  void Return();

 private:
  double rate_;
  double burst_;
  double tokens_;
  core::monotonic_time refilled_at_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_TOKEN_BUCKET_H_
