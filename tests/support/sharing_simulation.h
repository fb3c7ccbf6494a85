// Simulates executors on which best-effort tasks interfere with serving tasks,
// driven by the leader's decisions, without a network.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_SHARING_SIMULATION_H_
#define WAXWINGFRONT_TESTS_SUPPORT_SHARING_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {

struct sharing_simulation_options {
  int executors = 8;
  int serving_jobs = 6;
  // Best-effort jobs per second, and tasks per job.
  double best_effort_jobs = 2.0;
  std::uint32_t best_effort_tasks = 4;
  std::int64_t seconds = 25;
  // Utilisation that one core of a best-effort image adds to a serving image.
  std::function<double(std::string_view serving, std::string_view best_effort)>
      interference;
};

struct sharing_result {
  // Share of the time of all serving tasks in which they are above their target
  // because of best-effort tasks, and the longest such time of one task.
  double over_target_share = 0.0;
  std::int64_t longest_over_target_ms = 0;
  int best_effort_completed = 0;
  int best_effort_on_time = 0;
  // Jobs submitted and jobs completed on time, for each best-effort image.
  std::map<std::string, int> submitted;
  std::map<std::string, int> on_time;
};

// Runs the simulation and returns its result.
sharing_result SimulateSharing(const sharing_simulation_options& options);

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_SHARING_SIMULATION_H_
