#include "waxwingfront/fleet/processor_report.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace waxwingfront::tests {
namespace {

using fleet::processor_scope;
using fleet::processor_stage;

struct reported_thread {
  // Uses processor time in a stage.
  void Work(processor_stage stage, int time_ns) {
    const processor_scope scope(&stages, stage);
    now += std::chrono::nanoseconds(time_ns);
  }

  std::uint64_t Metric(std::string_view name, std::string_view stage) {
    return metrics
        .Counter(name, {{.name = "stage", .value = std::string(stage)}})
        .Value();
  }

  std::int64_t Field(std::string_view name) const {
    std::vector<logging::event_field> fields;
    report.AddTo(fields);
    const auto found =
        std::ranges::find(fields, name, &logging::event_field::name);
    REQUIRE(found != fields.end());
    return std::get<std::int64_t>(found->value);
  }

  std::chrono::nanoseconds now{0};
  fleet::processor_stages stages{[this] { return now; }};
  metrics::registry metrics;
  fleet::processor_report report{metrics};
};

TEST_CASE("processor metrics count from the start, log fields since the last",
          "[fleet]") {
  reported_thread thread;
  thread.Work(processor_stage::kStoreWrite, 40'000);
  thread.report.Update(thread.stages);
  thread.Work(processor_stage::kStoreWrite, 2000);
  thread.Work(processor_stage::kStoreWrite, 3000);
  thread.report.Update(thread.stages);
  CHECK(thread.Metric("waxwingfront_processor_microseconds_total",
                      "store_write") == 45);
  CHECK(thread.Metric("waxwingfront_processor_entries_total", "store_write") ==
        3);
  CHECK(thread.Field("processor_store_write_us") == 5);
  CHECK(thread.Field("processor_store_write_count") == 2);
  CHECK(thread.Field("processor_hold_us") == 0);
}

TEST_CASE("parts of a microsecond are not lost between reports", "[fleet]") {
  constexpr int kReports = 10;
  reported_thread thread;
  for (int i = 0; i < kReports; ++i) {
    thread.Work(processor_stage::kHold, 400);
    thread.report.Update(thread.stages);
  }
  CHECK(thread.Metric("waxwingfront_processor_microseconds_total", "hold") ==
        4);
}

}  // namespace
}  // namespace waxwingfront::tests
