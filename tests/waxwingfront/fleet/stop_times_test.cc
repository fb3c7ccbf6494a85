#include "waxwingfront/fleet/stop_times.h"

#include <catch2/catch.hpp>
#include <cstdint>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr core::milliseconds kMinLead = fleet::stop_time_options{}.min_lead;
constexpr core::milliseconds kMaxLead = fleet::stop_time_options{}.max_lead;
constexpr int kMeasurements = 50;

// An executor whose stops are ordered together and confirmed in turn.
class stopped_executor {
 public:
  void Stop(int tasks, std::int64_t turn_ms, std::int64_t end_ms) {
    const std::int64_t ordered_ms = now_ms_;
    for (int i = 0; i < tasks; ++i) {
      now_ms_ += turn_ms;
      fleet::task_state task;
      task.stop_ordered_at = At(ordered_ms).now;
      stops.OnConfirmed(executor_, task, At(now_ms_).now);
      task.stop_confirmed = true;
      task.stop_confirmed_at = At(now_ms_).now;
      stops.OnEnded(executor_, task, fleet::run_outcome::kStopped,
                    At(now_ms_ + end_ms).now);
    }
    now_ms_ += end_ms;
  }

  fleet::stop_times stops{fleet::stop_time_options{}};

 private:
  fleet::executor_state executor_;
  std::int64_t now_ms_ = 1000;
};

TEST_CASE("quick stops keep the shortest lead", "[fleet]") {
  stopped_executor executor;
  for (int i = 0; i < kMeasurements; ++i) executor.Stop(1, 5, 300);
  CHECK(executor.stops.LeadFor(1) == kMinLead);
  CHECK(executor.stops.LeadFor(12) == kMinLead);
}

// Guards against stops that are ordered when the executor leaves before their
// turn.
TEST_CASE("the lead covers the turns of all stops", "[fleet]") {
  stopped_executor executor;
  for (int i = 0; i < kMeasurements; ++i) executor.Stop(4, 400, 700);
  CHECK(executor.stops.LeadFor(2) >= core::milliseconds(2 * 400 + 700));
  CHECK(executor.stops.LeadFor(8) >= core::milliseconds(8 * 400 + 700));
  CHECK(executor.stops.LeadFor(8) < core::milliseconds(5000));
  CHECK(executor.stops.LeadFor(100) == kMaxLead);
}

// Guards against a new leader that knows nothing of stops and takes its slow
// calls for quick ones.
TEST_CASE("round trips bound the turns that were not measured", "[fleet]") {
  fleet::stop_times stops{fleet::stop_time_options{}};
  CHECK(stops.LeadFor(8) == kMinLead);
  for (int i = 0; i < kMeasurements; ++i) {
    stops.RecordRoundTrip(core::milliseconds(250));
  }
  CHECK(stops.LeadFor(8) >= kMinLead + core::milliseconds(8 * 250));
}

TEST_CASE("the lead falls when stops become quick", "[fleet]") {
  stopped_executor executor;
  for (int i = 0; i < kMeasurements; ++i) executor.Stop(4, 400, 700);
  for (int i = 0; i < kMeasurements; ++i) executor.Stop(4, 5, 300);
  CHECK(executor.stops.LeadFor(8) == kMinLead);
}

// Guards against a lead that is drawn from ends that no stop brought about.
TEST_CASE("only stops of active runs are measured", "[fleet]") {
  fleet::stop_times stops{fleet::stop_time_options{}};
  fleet::executor_state executor;
  fleet::task_state task;
  // Its start got no response.
  stops.OnEnded(executor, task, fleet::run_outcome::kStopped, At(9000).now);
  task.stop_ordered_at = At(1000).now;
  stops.OnEnded(executor, task, fleet::run_outcome::kExpired, At(11'000).now);
  stops.OnEnded(executor, task, fleet::run_outcome::kDone, At(9000).now);
  CHECK(stops.LeadFor(8) == kMinLead);
}

}  // namespace
}  // namespace waxwingfront::tests
