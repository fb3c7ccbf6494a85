// The queue's settings that a job keeps when its queue is removed.
#ifndef WAXWINGFRONT_FLEET_JOB_QUEUE_H_
#define WAXWINGFRONT_FLEET_JOB_QUEUE_H_

#include <optional>

#include "waxwingfront/fleet/types.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

// Sets the job's queue and records the queue's settings.
void SetQueue(const queue_spec& queue, schema::fleet_job& job);

// Returns the queue as it was recorded; nothing if the job was accepted by a
// version that recorded the service alone.
std::optional<queue_spec> RecordedQueue(const schema::fleet_job& job);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_JOB_QUEUE_H_
