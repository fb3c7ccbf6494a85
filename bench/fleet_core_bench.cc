// Measures the CPU time of the leader's decisions on a large fleet, without a
// network and in simulated time: submissions, planning passes, the journal, and
// holds with reports. Prints the cost of each entry point and a digest of all
// decisions, which is the same on every run; without arguments, a table of
// costs by the numbers of executors and live jobs.
#include <array>
#include <cstddef>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "fleet_simulation.h"

namespace waxwingfront::fleet {
namespace {

void PrintTable() {
  constexpr std::array<int, 2> kExecutorCounts{350, 1700};
  constexpr std::array<std::size_t, 2> kLiveJobCounts{100, 1000};
  std::cout << "executors | live jobs | starts/s | us a start: all work | "
               "response | us a round: all | ranking | visits | reserve | "
               "us a report | us a request\n"
            << std::fixed;
  for (const int executors : kExecutorCounts) {
    for (const std::size_t live_jobs : kLiveJobCounts) {
      fleet_simulation simulation(
          {.executors = executors, .live_jobs = live_jobs});
      simulation.Run();
      const simulated_costs costs = simulation.Costs();
      std::cout << executors << std::setprecision(0) << " | " << costs.live_jobs
                << " | " << costs.starts_per_s << std::setprecision(1);
      for (const double micros :
           {costs.per_start, costs.per_start_response, costs.per_round,
            costs.ranking, costs.visits, costs.reserve, costs.per_report,
            costs.per_request}) {
        std::cout << " | " << micros;
      }
      std::cout << "\n" << std::flush;
    }
  }
}

}  // namespace
}  // namespace waxwingfront::fleet

// Arguments: executors, jobs per second, maximum records in a transaction,
// measured milliseconds; "advised" as the last one enables an adviser.
int main(int count, char** arguments) {
  const std::vector<std::string> values(arguments + 1, arguments + count);
  waxwingfront::fleet::simulation_options options;
  if (values.empty()) {
    waxwingfront::fleet::PrintTable();
    return 0;
  }
  options.executors = std::stoi(values[0]);
  if (values.size() > 1) options.jobs = std::stod(values[1]);
  if (values.size() > 2) options.records = std::stoul(values[2]);
  if (values.size() > 3) options.measured_ms = std::stoll(values[3]);
  options.advised = values.size() > 4 && values[4] == "advised";
  waxwingfront::fleet::fleet_simulation simulation(options);
  simulation.Run();
  simulation.Print();
  return 0;
}
