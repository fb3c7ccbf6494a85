#include "waxwingfront/fleet/decision_log.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "support/fleet_fixture.h"
#include "support/pipe_pair.h"

namespace waxwingfront::tests {
namespace {

std::string LogOf(bool long_running) {
  const pipe_pair stream;
  // Only urgent lines are left.
  logging::event_log log(
      {.max_lines_per_second = 0, .descriptor = stream.ends[1]});
  schema::fleet_job spec = JobOf("job", 1, 1000);
  spec.mutable_steps(0)->set_long_running(long_running);
  fleet::job_state job(spec, At(0).now);
  const fleet::task_state& task = *job.Find({.job = "job"});
  fleet::decision_log decisions(log);
  decisions.Placed(task, 1);
  decisions.Waiting(task, {}, At(3000));
  decisions.RunEnded(task, fleet::run_outcome::kFailed);
  log.Flush();
  return stream.Read();
}

bool Contains(const std::string& text, const std::string& event) {
  return text.find(R"("event":")" + event + '"') != std::string::npos;
}

TEST_CASE("decisions on long-running tasks are urgent lines", "[fleet]") {
  // Issue 43: they were dropped among those on short tasks.
  const std::string text = LogOf(true);
  CHECK(Contains(text, "task_placed"));
  CHECK(Contains(text, "task_waits"));
  CHECK(Contains(text, "run_over"));
}

TEST_CASE("decisions on short tasks are ordinary lines", "[fleet]") {
  const std::string text = LogOf(false);
  CHECK_FALSE(Contains(text, "task_placed"));
  CHECK_FALSE(Contains(text, "task_waits"));
  CHECK_FALSE(Contains(text, "run_over"));
}

TEST_CASE("each outcome of a start has a name of its own", "[fleet]") {
  std::set<std::string_view> names = {"unknown"};
  constexpr int kOutcomes = static_cast<int>(fleet::start_outcome::kNotSent);
  for (int i = 0; i <= kOutcomes; ++i) {
    const auto outcome = static_cast<fleet::start_outcome>(i);
    CHECK(names.insert(fleet::OutcomeName(outcome)).second);
  }
}

}  // namespace
}  // namespace waxwingfront::tests
