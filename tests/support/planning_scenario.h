// Random shards for property tests of the planning code, and an oracle that
// checks plans step by step, independently of the planner's bookkeeping.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_PLANNING_SCENARIO_H_
#define WAXWINGFRONT_TESTS_SUPPORT_PLANNING_SCENARIO_H_

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/schema/gen/shard_log.pb.h"
#include "waxwingfront/shard/planner.h"
#include "waxwingfront/shard/shard_state.h"

namespace waxwingfront::tests {

struct planning_scenario {
  std::unique_ptr<bundle::bundle_view> policy;
  std::vector<hosts::worker_info> workers;
  std::vector<shard::candidate_worker> candidates;
  shard::shard_state state;
};

struct scenario_options {
  // Generates classes, customers and hosts without individual limits.
  bool plain_policy = false;
  bool failures = true;
};

// Generates a scenario with RapidCheck; must be called within a property.
// Attempts that are already bound may exceed what the policy allows.
planning_scenario GenerateScenario(const scenario_options& options = {});

schema::job_spec MakeSpec(const std::string& id, const std::string& customer,
                          const std::string& batch_class,
                          core::resources task_size, std::int64_t task_count);
void Accept(shard::shard_state& state, const schema::job_spec& spec);
// Returns false if the state rejects the binding.
bool Apply(shard::shard_state& state, const schema::attempt_bound& binding);
void End(shard::shard_state& state, const schema::attempt_id& id,
         schema::attempt_outcome outcome);

// What the rules of a bundle allow in a state, recomputed for each query.
class planning_oracle {
 public:
  explicit planning_oracle(const planning_scenario& scenario)
      : scenario_(scenario), state_(scenario.state) {}

  const shard::shard_state& State() const { return state_; }
  bool Apply(const schema::attempt_bound& binding);

  // True if one more task of the job may be placed on the worker.
  bool Allows(const shard::job_record& job,
              const shard::candidate_worker& worker) const;
  bool IsPlaceable(const shard::job_record& job) const;
  bool IsWithinQuota(const shard::job_record& job) const;
  double WeightedShare(const shard::job_record& job) const;
  int Priority(const shard::job_record& job) const;

 private:
  bool SharesHosts(const hosts::worker_info& worker,
                   const schema::batch_class_policy& batch_class) const;
  core::resources Used(std::string_view worker,
                       std::string_view batch_class) const;
  core::resources UsedBy(std::string_view customer) const;

  const planning_scenario& scenario_;
  shard::shard_state state_;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_PLANNING_SCENARIO_H_
