// Executors without a network, in simulated time.
#ifndef WAXWINGFRONT_BENCH_SIMULATED_EXECUTORS_H_
#define WAXWINGFRONT_BENCH_SIMULATED_EXECUTORS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet_load.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

struct simulated_run {
  start_order order;
  // Index in `kClasses`.
  std::size_t job_class_index = 0;
  int image = 0;
  double cpu = 0.0;
  double remaining_ms = 0.0;
  double work_ms = 1.0;
  bool fails = false;
  int pace = kFullPace;
};

struct simulated_executor {
  std::string id;
  std::vector<simulated_run> runs;
  std::vector<ended_report> ended;
  std::uint64_t ends = 0;
  std::int64_t last_hold_ms = 0;
};

class simulated_executors {
 public:
  // Draws how much the images disturb each other.
  explicit simulated_executors(std::mt19937& random);

  void Add(const std::string& id, std::int64_t last_hold_ms);
  std::vector<simulated_executor>& All() { return executors_; }
  simulated_executor& Of(const std::string& id) {
    return executors_.at(indexes_.at(id));
  }
  std::size_t CountRuns() const;

  void Advance(std::int64_t time_ms);
  void Stop(const stop_order& order);
  void SetPace(const pace_order& order);
  hold_report Report(const simulated_executor& executor,
                     std::int64_t now_ms) const;

 private:
  // Returns the response time that a long-running task reports.
  std::int64_t TailLatency(const simulated_executor& executor,
                           const simulated_run& task,
                           std::int64_t now_ms) const;

  std::vector<simulated_executor> executors_;
  std::map<std::string, std::size_t> indexes_;
  std::array<std::array<double, kBestEffortImages>, kServingImages>
      interference_{};
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_BENCH_SIMULATED_EXECUTORS_H_
