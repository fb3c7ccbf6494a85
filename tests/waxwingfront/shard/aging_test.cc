// The bound on the wait of large tasks, over the pure planning code.
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

constexpr std::size_t kAll = 1000;
constexpr core::monotonic_time kStart{std::chrono::hours(1)};
constexpr core::milliseconds kPass{500};

int Draw(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high + 1));
}

schema::bundle MakeBundle() {
  schema::bundle content;
  // The stream of small tasks may be more important than the large ones.
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

// Workers that are always full, and passes every 500 ms.
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

  void Pass(core::monotonic_time now) {
    while (!ends.empty() && ends.begin()->first <= now) {
      tests::End(state, ends.begin()->second, schema::ATTEMPT_OUTCOME_FINISHED);
      ends.erase(ends.begin());
    }
    holds.Prune(
        state, [](std::string_view) { return true; }, now);
    for (const auto& binding :
         PlanBindings(state, candidates, policy, kAll, {.held = holds.All()})) {
      holds.OnBound(binding.id().job(), binding.worker());
      clock.OnBound(binding.id().job(), now);
      tests::Apply(state, binding);
      bound_at.try_emplace(binding.id().job(), now);
      ends.emplace(now + core::milliseconds(Draw(1, longest_run_ms)),
                   binding.id());
    }
    const auto aged = clock.Choose(state, candidates, policy, holds.All(), now);
    if (aged.has_value()) holds.Add(*aged, core::monotonic_time::max());
  }

  bundle::bundle_view policy;
  std::vector<hosts::worker_info> infos;
  std::vector<candidate_worker> candidates;
  shard_state state;
  capacity_holds holds;
  aging clock;
  int longest_run_ms = Draw(500, 20000);
  std::multimap<core::monotonic_time, schema::attempt_id> ends;
  std::map<std::string, core::monotonic_time> bound_at;
};

// Guards against large tasks that wait for good, since a worker that is always
// refilled with small ones is never empty enough.
TEST_CASE("a large task starts within the aging limit and one run time",
          "[shard][aging]") {
  rc::prop("the n-th waits at most the limit and n times the longest run", [] {
    busy_shard shard;
    core::monotonic_time now = kStart;
    for (; now < kStart + core::milliseconds(5000); now += kPass)
      shard.Pass(now);
    const core::monotonic_time submitted = now;
    const int large_jobs = Draw(1, 2);
    for (int index = 0; index < large_jobs; ++index)
      shard.Accept("large-" + std::to_string(index), "large", Draw(6, 8), 1);
    const core::milliseconds one_run =
        core::milliseconds(shard.longest_run_ms) + 2 * kPass;
    // Streams that the first one starves have waited longer and go first.
    const int ahead =
        static_cast<int>(shard.state.Jobs().size()) - large_jobs - 1;
    const core::monotonic_time last =
        submitted + kAgingLimit + (ahead + large_jobs) * one_run;
    for (; now <= last; now += kPass) shard.Pass(now);
    for (int index = 0; index < large_jobs; ++index) {
      const auto bound = shard.bound_at.find("large-" + std::to_string(index));
      RC_ASSERT(bound != shard.bound_at.end());
      RC_ASSERT(bound->second <=
                submitted + kAgingLimit + (ahead + index + 1) * one_run);
    }
  });
}

}  // namespace
}  // namespace waxwingfront::shard
