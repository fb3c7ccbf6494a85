// Backoff between the attempts of a task: determines when a task whose attempt
// ended without finishing may be bound again.
#ifndef WAXWINGFRONT_SHARD_RETRY_SCHEDULE_H_
#define WAXWINGFRONT_SHARD_RETRY_SCHEDULE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/schema/gen/shard_log.pb.h"

namespace waxwingfront::shard {

// Delays double from 1 s to 5 min after failures, and from 250 ms to 30 s after
// interruptions (evicted, lost or failed by a faulty worker). Interruptions are
// not the task's fault, but a task that loses its worker at each attempt must
// still not be bound again without a pause.
inline constexpr core::milliseconds kInitialFailureDelay{1000};
inline constexpr core::milliseconds kMaxFailureDelay{300000};
inline constexpr core::milliseconds kInitialInterruptionDelay{250};
inline constexpr core::milliseconds kMaxInterruptionDelay{30000};

// Returns the delay before the attempt that follows `id`: the exponential delay
// less a jitter of up to half of it. The jitter is a hash of the id, so that
// tasks that ended together are not bound together.
core::milliseconds RetryDelay(const schema::attempt_id& id,
                              schema::attempt_outcome outcome);

// Kept in the owner's memory only; after a take-over all tasks are due.
class retry_schedule {
 public:
  void OnEnded(const schema::attempt_id& id, schema::attempt_outcome outcome,
               core::monotonic_time now);
  bool IsDue(std::string_view job, std::int64_t task,
             core::monotonic_time now) const;
  // Removes delays that have expired.
  void Prune(core::monotonic_time now);
  std::size_t Size() const { return due_.size(); }

 private:
  std::map<std::string, std::map<std::int64_t, core::monotonic_time>,
           std::less<>>
      due_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_RETRY_SCHEDULE_H_
