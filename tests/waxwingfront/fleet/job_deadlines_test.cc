#include "waxwingfront/fleet/job_deadlines.h"

#include <catch2/catch.hpp>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

// Guards against deadlines beyond the range of the clock, which overflow to
// times in the past.
TEST_CASE("the longest estimates and stretches give deadlines in the future",
          "[fleet]") {
  constexpr int kSteps = 64;
  constexpr std::int64_t kYearMs = 366LL * 24 * 60 * 60 * 1000;
  schema::fleet_job spec = JobOf("job", 1, 1000);
  spec.mutable_steps(0)->set_estimated_ms(kYearMs);
  for (int i = 1; i < kSteps; ++i) {
    schema::fleet_step& next = *spec.add_steps();
    next.set_task_count(1);
    next.set_estimated_ms(kYearMs);
    next.add_after(static_cast<std::uint32_t>(i - 1));
  }
  const fleet::job_state job(spec, At(0).now);
  const fleet::queue_spec queue{.stretch = 1e6,
                                .target_duration = core::milliseconds(kYearMs)};
  const fleet::job_deadlines deadlines =
      fleet::ComputeDeadlines(job, 0, &queue);
  CHECK(deadlines.due > At(0).now);
  CHECK(deadlines.latest_useful_end > deadlines.due);
}

}  // namespace
}  // namespace waxwingfront::tests
