#include "waxwingfront/fleet/job_order.h"

#include <algorithm>
#include <vector>

namespace waxwingfront::fleet {
namespace {

// A job is late, not lost, up to this multiple of its objective; the platform
// states it.
constexpr int kLateFactor = 3;

struct chain_lengths {
  core::milliseconds whole{0};
  core::milliseconds left{0};
};

chain_lengths LongestChain(const job_state& job, std::uint32_t occurrence) {
  const std::vector<step_state>& steps = job.Occurrences()[occurrence].steps;
  std::vector<chain_lengths> until(steps.size());
  chain_lengths longest;
  for (std::size_t s = 0; s < steps.size(); ++s) {
    const schema::fleet_step& spec = job.Spec().steps(static_cast<int>(s));
    for (const std::uint32_t before : spec.after()) {
      until[s].whole = std::max(until[s].whole, until[before].whole);
      until[s].left = std::max(until[s].left, until[before].left);
    }
    const core::milliseconds time(spec.estimated_ms());
    until[s].whole += time;
    if (!steps[s].Done()) until[s].left += time;
    longest.whole = std::max(longest.whole, until[s].whole);
    longest.left = std::max(longest.left, until[s].left);
  }
  return longest;
}

}  // namespace

job_outlook Outlook(const job_state& job, std::uint32_t occurrence,
                    const queue_spec* queue) {
  const chain_lengths chain = LongestChain(job, occurrence);
  core::milliseconds objective = chain.whole;
  if (queue != nullptr) {
    objective = std::chrono::duration_cast<core::milliseconds>(chain.whole *
                                                               queue->stretch) +
                queue->target_duration;
  }
  const core::monotonic_time start = job.DueStart(occurrence);
  return {.due = start + objective,
          .last_use = start + kLateFactor * objective,
          .chain_left = chain.left};
}

job_hope HopeOf(const job_outlook& outlook, core::monotonic_time now) {
  const core::monotonic_time earliest = now + outlook.chain_left;
  if (earliest <= outlook.due) return job_hope::kInTime;
  return earliest <= outlook.last_use ? job_hope::kLate : job_hope::kNone;
}

}  // namespace waxwingfront::fleet
