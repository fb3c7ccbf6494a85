#include "waxwingfront/fleet/job_queue.h"

#include <algorithm>
#include <cstdint>

namespace waxwingfront::fleet {

void SetQueue(const queue_spec& queue, schema::fleet_job& job) {
  job.set_queue(queue.name);
  job.set_service(queue.service);
  schema::fleet_queue_settings& settings = *job.mutable_queue_settings();
  settings.set_priority(queue.priority);
  settings.set_max_attempts(
      static_cast<std::uint32_t>(std::max(1, queue.max_attempts)));
  settings.set_stretch(queue.stretch);
  settings.set_target_duration_ms(queue.target_duration.count());
  settings.set_advised(queue.advised);
}

std::optional<queue_spec> RecordedQueue(const schema::fleet_job& job) {
  if (!job.has_queue_settings()) return std::nullopt;
  const schema::fleet_queue_settings& settings = job.queue_settings();
  return queue_spec{
      .name = job.queue(),
      .service = job.service(),
      .priority = settings.priority(),
      .max_attempts = static_cast<int>(settings.max_attempts()),
      .stretch = settings.stretch(),
      .target_duration = core::milliseconds(settings.target_duration_ms()),
      .advised = settings.advised()};
}

}  // namespace waxwingfront::fleet
