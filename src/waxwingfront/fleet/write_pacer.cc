#include "waxwingfront/fleet/write_pacer.h"

#include <algorithm>

namespace waxwingfront::fleet {

core::monotonic_time::duration write_pacer::Interval(
    double transactions) const {
  return std::chrono::duration_cast<core::monotonic_time::duration>(
      std::chrono::duration<double>(transactions / options_.max_per_s));
}

std::optional<core::monotonic_time> write_pacer::NextStart(
    const pending_changes& waiting) const {
  if (!waiting.any) return std::nullopt;
  std::size_t limit = options_.max_in_flight;
  if (store_unavailable_) {
    limit = 1;
  } else if (!waiting.urgent) {
    limit = std::max<std::size_t>(1, limit - 1);
  }
  if (in_flight_ >= limit) return std::nullopt;
  const bool worth_sending = waiting.full || waiting.urgent;
  if (in_flight_ > 0 && !worth_sending) return std::nullopt;
  const core::monotonic_time permitted = std::max(
      retry_at_, theoretical_arrival_ - Interval(options_.max_burst - 1.0));
  return waiting.full ? permitted : std::max(permitted, next_batch_at_);
}

void write_pacer::Started(core::monotonic_time now) {
  ++in_flight_;
  next_batch_at_ = now + options_.batching_delay;
  theoretical_arrival_ = std::max(theoretical_arrival_, now) + Interval(1.0);
}

void write_pacer::Finished(bool carried_out, core::monotonic_time now) {
  --in_flight_;
  store_unavailable_ = !carried_out;
  retry_at_ = carried_out ? now : now + options_.retry;
}

}  // namespace waxwingfront::fleet
