#include "waxwingfront/fleet/job_state.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using fleet::task_phase;

// Two steps, the second of which depends on the first and is long-running.
schema::fleet_job TwoSteps() {
  schema::fleet_job job = JobOf("job", 3, 1000);
  job.mutable_steps(0)->set_estimated_ms(400);
  *job.add_steps() = job.steps(0);
  job.mutable_steps(1)->set_estimated_ms(600);
  job.mutable_steps(1)->add_after(0);
  job.mutable_steps(1)->set_long_running(true);
  return job;
}

std::size_t CountPhase(const fleet::step_state& step, task_phase phase) {
  return static_cast<std::size_t>(
      std::ranges::count(step.tasks, phase, &fleet::task_state::Phase));
}

TEST_CASE("counts of tasks by phase follow each change", "[fleet]") {
  rc::prop("counts equal those of a recount", [] {
    fleet::job_state job(TwoSteps(), At(0).now);
    std::vector<fleet::step_state>& steps = job.Occurrences()[0].steps;
    const int changes = *rc::gen::inRange(0, 30);
    for (int i = 0; i < changes; ++i) {
      auto& tasks = steps[*rc::gen::inRange<std::size_t>(0, 2)].tasks;
      tasks[*rc::gen::inRange<std::size_t>(0, tasks.size())].SetPhase(
          *rc::gen::element(task_phase::kWaiting, task_phase::kPlaced,
                            task_phase::kRunning, task_phase::kSucceeded));
    }
    for (const fleet::step_state& step : steps) {
      RC_ASSERT(step.waiting == CountPhase(step, task_phase::kWaiting));
      RC_ASSERT(step.succeeded == CountPhase(step, task_phase::kSucceeded));
    }
    RC_ASSERT(job.WaitingTasks() == steps[0].waiting + steps[1].waiting);
    RC_ASSERT(job.WaitingLongRunning() == steps[1].waiting);
    RC_ASSERT(
        job.AnyReadyTaskWaits(0) ==
        (steps[0].waiting > 0 || (steps[0].Done() && steps[1].waiting > 0)));
    const std::int64_t remaining =
        (steps[0].Done() ? 0 : 400) + (steps[1].Done() ? 0 : 600);
    RC_ASSERT(job.CriticalPath(0).total.count() == 1000);
    RC_ASSERT(job.CriticalPath(0).remaining.count() == remaining);
  });
}

}  // namespace
}  // namespace waxwingfront::tests
