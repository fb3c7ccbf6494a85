// Executors on which filling tasks disturb serving ones, played against the
// leader's decisions without a network.
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
  // Filling jobs a second, and tasks of one.
  double filling_jobs = 2.0;
  std::uint32_t filling_tasks = 4;
  std::int64_t seconds = 25;
  // Utilisation that one core of a filling image adds to a serving image.
  std::function<double(std::string_view serving, std::string_view filling)>
      pressure;
};

struct sharing_result {
  // Of the time of all serving tasks, the share above their target because of
  // filling ones, and the longest such time of one task.
  double harmed_share = 0.0;
  std::int64_t longest_harm_ms = 0;
  int filling_done = 0;
  int filling_in_time = 0;
  // Of each filling image, the jobs submitted and those that ended in time.
  std::map<std::string, int> submitted;
  std::map<std::string, int> in_time;
};

// Plays the site and gives what callers got.
sharing_result SimulateSharing(const sharing_simulation_options& options);

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_SHARING_SIMULATION_H_
