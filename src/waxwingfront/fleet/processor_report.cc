#include "waxwingfront/fleet/processor_report.h"

#include <chrono>
#include <cstddef>

namespace waxwingfront::fleet {

processor_report::processor_report(metrics::registry& metrics) {
  for (std::size_t i = 0; i < kProcessorStages; ++i) {
    const std::string name(StageName(static_cast<processor_stage>(i)));
    const metrics::label label{.name = "stage", .value = name};
    stage_report& stage = stages_.at(i);
    stage.time_field = "processor_" + name + "_us";
    stage.count_field = "processor_" + name + "_count";
    stage.microseconds =
        &metrics.Counter("waxwingfront_processor_microseconds_total", {label});
    stage.entries =
        &metrics.Counter("waxwingfront_processor_entries_total", {label});
  }
}

void processor_report::Update(processor_stages& stages) {
  const processor_stages::usages& totals = stages.Totals();
  for (std::size_t i = 0; i < kProcessorStages; ++i) {
    stage_report& stage = stages_.at(i);
    const auto total_us = static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::microseconds>(totals.at(i).time)
            .count());
    stage.recent_us = total_us - stage.total_us;
    stage.recent_count = totals.at(i).count - stage.total_count;
    stage.total_us = total_us;
    stage.total_count = totals.at(i).count;
    stage.microseconds->Add(stage.recent_us);
    stage.entries->Add(stage.recent_count);
  }
}

void processor_report::AddTo(std::vector<logging::event_field>& fields) const {
  const auto number = [](std::uint64_t value) {
    return static_cast<std::int64_t>(value);
  };
  for (const stage_report& stage : stages_) {
    fields.push_back({stage.time_field, number(stage.recent_us)});
    fields.push_back({stage.count_field, number(stage.recent_count)});
  }
}

}  // namespace waxwingfront::fleet
