// Exports the usage of the processor stages as metrics and as log fields.
#ifndef WAXWINGFRONT_FLEET_PROCESSOR_REPORT_H_
#define WAXWINGFRONT_FLEET_PROCESSOR_REPORT_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "waxwingfront/fleet/processor_stages.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/metrics/registry.h"

namespace waxwingfront::fleet {

class processor_report {
 public:
  explicit processor_report(metrics::registry& metrics);

  // Adds what the stages have used since the last update to the metrics.
  void Update(processor_stages& stages);

  // Appends the usage between the last two updates. The fields refer to names
  // in this object.
  void AddTo(std::vector<logging::event_field>& fields) const;

 private:
  struct stage_report {
    std::string time_field;
    std::string count_field;
    metrics::counter* microseconds = nullptr;
    metrics::counter* entries = nullptr;
    // Totals at the last update.
    std::uint64_t total_us = 0;
    std::uint64_t total_count = 0;
    // Between the last two.
    std::uint64_t recent_us = 0;
    std::uint64_t recent_count = 0;
  };

  std::array<stage_report, kProcessorStages> stages_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_PROCESSOR_REPORT_H_
