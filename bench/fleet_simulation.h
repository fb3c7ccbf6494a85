// The leader's decisions on a large fleet, without a network and in simulated
// time.
#ifndef WAXWINGFRONT_BENCH_FLEET_SIMULATION_H_
#define WAXWINGFRONT_BENCH_FLEET_SIMULATION_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cost_table.h"
#include "fleet_load.h"
#include "simulated_executors.h"
#include "waxwingfront/fleet/fleet_core.h"

namespace waxwingfront::fleet {

inline constexpr std::uint32_t kSimulationSeed = 20261204;

struct simulation_options {
  int executors = 490;
  // Jobs per second, and maximum records in a transaction.
  double jobs = 45.0;
  // Jobs that are live at any time, instead of a rate; 0 for the rate.
  std::size_t live_jobs = 0;
  std::size_t records = 120;
  std::int64_t warm_up_ms = 4000;
  std::int64_t measured_ms = 10'000;
  bool advised = false;
};

// Processor times are in microseconds.
struct simulated_costs {
  double starts_per_s = 0.0;
  double live_jobs = 0.0;
  // Of all work.
  double per_start = 0.0;
  double per_round = 0.0;
  // Parts of a round.
  double ranking = 0.0;
  double visits = 0.0;
  double reserve = 0.0;
  double per_report = 0.0;
  double per_request = 0.0;
  double per_start_response = 0.0;
};

class fleet_simulation {
 public:
  explicit fleet_simulation(const simulation_options& options);

  void Run();
  // Returns means of the measured time. Call after `Run`.
  simulated_costs Costs();
  // Prints the cost of each entry point and a digest of all decisions.
  void Print() const;

 private:
  struct pending_start {
    std::int64_t due_ms;
    start_order order;
  };

  double Seconds() const;
  moment Now() const;
  void AddToDigest(std::string_view text);
  void AddExecutor(int index);
  void StoreLeaseRecord();
  void Plan();
  void SubmitInitialJobs();
  void Submit(const job_class& profile);
  void SubmitDueJobs();
  void SendHolds();
  void Hold(simulated_executor& executor);
  void ExecuteOrders(const orders& decided);
  void RespondToAdviceRequest(const advice_request& request);
  void DeliverStarts();
  void WriteRecords();
  void ResetCounters();

  simulation_options options_;
  fleet_core core_{{}};
  std::mt19937 random_{kSimulationSeed};
  std::int64_t now_ = 0;
  simulated_executors executors_{random_};
  // Executors of the tasks that the last round has placed.
  std::set<std::string> placed_on_;
  std::map<std::string, std::pair<std::size_t, int>> job_classes_;
  std::vector<pending_start> pending_starts_;
  cost_table costs_;
  processor_stages processor_;
  // At the end of warming up.
  processor_stages::usages processor_before_{};
  // Sum over the rounds.
  std::size_t live_jobs_ = 0;
  double due_jobs_ = 0.0;
  int submitted_ = 0;
  std::int64_t starts_ = 0;
  std::int64_t done_ = 0;
  std::int64_t finished_ = 0;
  std::size_t records_ = 0;
  // Number of the batch that is being written.
  std::uint64_t batch_ = 0;
  bool writing_ = false;
  std::int64_t write_done_ms_ = 0;
  std::int64_t revision_ = 1;
  std::uint64_t digest_ = 14695981039346656037ULL;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_BENCH_FLEET_SIMULATION_H_
