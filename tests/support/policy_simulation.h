// Simulates a shard's owner and stand-in workers in one thread, with simulated
// time, without sleeping or I/O.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_POLICY_SIMULATION_H_
#define WAXWINGFRONT_TESTS_SUPPORT_POLICY_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "waxwingfront/shard/shard_core.h"
#include "waxwingfront/standins/worker.h"

namespace waxwingfront::tests {

struct policy_simulation_options {
  int workers = 1;
  core::resources capacity{.processor_milli = 32000, .memory_mib = 128000};
  schema::bundle policy;
  // Time from an append or a sync exchange to its response.
  core::milliseconds append_time{10};
  core::milliseconds sync_time{4};
  core::milliseconds job_retention{86400000};
};

class policy_simulation {
 public:
  explicit policy_simulation(const policy_simulation_options& options);

  shard::shard_core& Core() { return *core_; }
  const shard::shard_state& State() const { return core_->State(); }
  standins::worker& Worker(int index) { return *workers_.at(index); }
  core::monotonic_time Now() const { return now_; }
  int Appends() const { return appends_; }
  const schema::log_record& LastRecord() const { return last_record_; }

  void Submit(const schema::job_spec& spec);
  // Advances time in steps of 2 ms.
  void Run(core::milliseconds duration);
  bool RunUntil(const std::function<bool()>& condition,
                core::milliseconds limit);

  // Return the number of starts of a job's tasks on all workers or on one.
  int Starts(const std::string& job) const;
  int StartsOn(int worker, const std::string& job) const;
  schema::job_status Status(const std::string& job) const {
    return core_->Status(job);
  }

 private:
  struct exchange {
    schema::sync_request request;
    core::monotonic_time arrives_at;
    core::monotonic_time responds_at;
    bool handled = false;
    schema::sync_response response;
  };

  void Step();
  void StepAppend();
  void StepExchange(const std::string& worker);

  policy_simulation_options options_;
  core::monotonic_time now_{std::chrono::hours(1)};
  std::vector<std::unique_ptr<standins::worker>> workers_;
  std::map<std::string, standins::worker*> by_name_;
  std::map<std::string, exchange> exchanges_;
  std::unique_ptr<shard::shard_core> core_;
  core::monotonic_time append_done_;
  bool appending_ = false;
  int appends_ = 0;
  schema::log_record last_record_;
  std::uint64_t nonce_ = 1;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_POLICY_SIMULATION_H_
