// Upper bound on the waiting time of large tasks, tested on the planning code
// without an owner.
#include "waxwingfront/shard/aging.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>

#include "support/planning_scenario.h"
#include "waxwingfront/shard/capacity_holds.h"

namespace waxwingfront::shard {
namespace {

constexpr std::size_t kNoLimit = 1000;
constexpr core::monotonic_time kStart{std::chrono::hours(1)};
constexpr core::milliseconds kPassPeriod{500};

int Draw(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high + 1));
}

schema::bundle MakeBundle() {
  schema::bundle content;
  // The small tasks may have a higher priority than the large ones.
  for (const std::string name : {"small", "large"}) {
    auto& item = *content.add_batch_classes();
    item.set_name(name);
    item.set_priority(name == "small" ? Draw(0, 1) : 0);
    item.set_host_share_percent(100);
    item.set_max_failures(1);
  }
  auto& customer = *content.add_customers();
  customer.set_name("jihlava");
  customer.set_weight(1);
  return content;
}

// A shard whose workers are always full, with a planning pass every 500 ms.
struct busy_shard {
  busy_shard() : policy(MakeBundle(), 1) {
    const int workers = Draw(1, 4);
    for (int index = 0; index < workers; ++index) {
      infos.push_back({.id = "worker-" + std::to_string(index),
                       .shard = "north/0",
                       .capacity = {.processor_milli = 8000}});
    }
    for (const hosts::worker_info& info : infos)
      candidates.push_back({.info = &info});
    const int streams = Draw(1, 3);
    for (int index = 0; index < streams; ++index)
      Accept("small-" + std::to_string(index), "small", Draw(1, 3), 1000000);
  }

  void Accept(const std::string& id, const std::string& batch_class,
              int processors, std::int64_t tasks) {
    tests::Accept(
        state, tests::MakeSpec(id, "jihlava", batch_class,
                               {.processor_milli = 1000L * processors}, tasks));
  }

  void RunPass(core::monotonic_time now) {
    while (!ends.empty() && ends.begin()->first <= now) {
      tests::End(state, ends.begin()->second, schema::ATTEMPT_OUTCOME_FINISHED);
      ends.erase(ends.begin());
    }
    holds.Prune(
        state, [](std::string_view) { return true; }, now);
    for (const auto& binding : PlanBindings(state, candidates, policy, kNoLimit,
                                            {.held = holds.All()})) {
      holds.OnBound(binding.id().job(), binding.worker());
      aged_jobs.OnBound(binding.id().job(), now);
      tests::Apply(state, binding);
      bound_at.try_emplace(binding.id().job(), now);
      ends.emplace(now + core::milliseconds(Draw(1, longest_run_ms)),
                   binding.id());
    }
    const auto aged = aged_jobs.ChooseReservation(state, candidates, policy,
                                                  holds.All(), now);
    if (aged.has_value()) holds.Add(*aged, core::monotonic_time::max());
  }

  bundle::bundle_view policy;
  std::vector<hosts::worker_info> infos;
  std::vector<candidate_worker> candidates;
  shard_state state;
  capacity_holds holds;
  aging aged_jobs;
  int longest_run_ms = Draw(500, 20000);
  std::multimap<core::monotonic_time, schema::attempt_id> ends;
  std::map<std::string, core::monotonic_time> bound_at;
};

// Guards against starvation of large tasks: a worker that is always refilled
// with small tasks never has enough free capacity for a large one.
TEST_CASE("a large task starts within the aging limit and one run time",
          "[shard][aging]") {
  rc::prop(
      "the n-th job waits at most the limit plus n times the longest run", [] {
        busy_shard shard;
        core::monotonic_time now = kStart;
        for (; now < kStart + core::milliseconds(5000); now += kPassPeriod)
          shard.RunPass(now);
        const core::monotonic_time submitted = now;
        const int large_jobs = Draw(1, 2);
        for (int index = 0; index < large_jobs; ++index)
          shard.Accept("large-" + std::to_string(index), "large", Draw(6, 8),
                       1);
        const core::milliseconds one_run =
            core::milliseconds(shard.longest_run_ms) + 2 * kPassPeriod;
        // Streams of small tasks that starve behind the first one have waited
        // longer and get their reservation first.
        const int ahead =
            static_cast<int>(shard.state.Jobs().size()) - large_jobs - 1;
        const core::monotonic_time last =
            submitted + kAgingLimit + (ahead + large_jobs) * one_run;
        for (; now <= last; now += kPassPeriod) shard.RunPass(now);
        for (int index = 0; index < large_jobs; ++index) {
          const auto bound =
              shard.bound_at.find("large-" + std::to_string(index));
          RC_ASSERT(bound != shard.bound_at.end());
          RC_ASSERT(bound->second <=
                    submitted + kAgingLimit + (ahead + index + 1) * one_run);
        }
      });
}

}  // namespace
}  // namespace waxwingfront::shard
