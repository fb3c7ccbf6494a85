// Backoff between the attempts of a task.
#include "waxwingfront/shard/retry_schedule.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "support/planning_scenario.h"
#include "support/policy_simulation.h"

namespace waxwingfront::shard {
namespace {

int Draw(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high + 1));
}

schema::attempt_id Id(std::int64_t task, std::int32_t attempt) {
  schema::attempt_id id;
  id.set_job("orders-1");
  id.set_task(task);
  id.set_attempt(attempt);
  return id;
}

// Guards against tasks that are bound again without a pause, and against delays
// that grow without bound.
TEST_CASE("retry delays double up to a bound, less a jitter",
          "[shard][retry]") {
  rc::prop("each delay is between half and all of the doubled delay", [] {
    const bool failed = Draw(0, 1) == 0;
    const auto outcome =
        failed ? schema::ATTEMPT_OUTCOME_FAILED : schema::ATTEMPT_OUTCOME_LOST;
    const int attempt = Draw(1, 1000);
    double full =
        (failed ? kInitialFailureDelay : kInitialInterruptionDelay).count();
    const double longest =
        (failed ? kMaxFailureDelay : kMaxInterruptionDelay).count();
    for (int step = 1; step < attempt && full < longest; ++step) full *= 2;
    full = std::min(full, longest);
    const auto delay = static_cast<double>(
        RetryDelay(Id(Draw(0, 99), attempt), outcome).count());
    RC_ASSERT(delay <= full);
    RC_ASSERT(delay >= full / 2);
  });
}

// Guards against tasks that ended together and are bound again at the same
// instant.
TEST_CASE("tasks that end together are due at different times",
          "[shard][retry]") {
  std::set<core::milliseconds> delays;
  for (int task = 0; task < 100; ++task)
    delays.insert(RetryDelay(Id(task, 1), schema::ATTEMPT_OUTCOME_FAILED));
  CHECK(delays.size() > 50);
}

// Guards against a schedule that drops a delay early or keeps it forever.
TEST_CASE("a task is due exactly when its retry delay has passed",
          "[shard][retry]") {
  rc::prop("due from exactly the end plus the delay", [] {
    constexpr core::monotonic_time kEnd{std::chrono::hours(1)};
    retry_schedule schedule;
    const auto id = Id(Draw(0, 9), Draw(1, 12));
    schedule.OnEnded(id, schema::ATTEMPT_OUTCOME_FAILED, kEnd);
    const auto delay = RetryDelay(id, schema::ATTEMPT_OUTCOME_FAILED);
    const core::monotonic_time now = kEnd + core::milliseconds(Draw(0, 400000));
    schedule.Prune(now);
    RC_ASSERT(schedule.IsDue("orders-1", id.task(), now) ==
              (now >= kEnd + delay));
    RC_ASSERT(schedule.IsDue("orders-1", id.task() + 1, now));
    RC_ASSERT(schedule.Size() == (now >= kEnd + delay ? 0U : 1U));
  });
}

// Guards against an owner that ignores the schedule, and against more failed
// attempts than the bundle allows.
TEST_CASE("an owner backs off between failures and fails the job at the bound",
          "[shard][retry]") {
  schema::bundle policy;
  auto& item = *policy.add_batch_classes();
  item.set_name("orders");
  item.set_host_share_percent(100);
  item.set_max_failures(8);
  auto& customer = *policy.add_customers();
  customer.set_name("jihlava");
  customer.set_weight(1);
  tests::policy_simulation simulation({.workers = 2, .policy = policy});
  schema::job_spec spec =
      tests::MakeSpec("bad", "jihlava", "orders", {.memory_mib = 100}, 1);
  spec.set_command("fail:10");
  simulation.Submit(spec);
  const core::monotonic_time submitted = simulation.Now();
  REQUIRE(simulation.RunUntil(
      [&] {
        return simulation.Status("bad").state() == schema::JOB_STATE_FAILED;
      },
      core::milliseconds(300000)));
  CHECK(simulation.Starts("bad") == 8);
  CHECK(simulation.Status("bad").attempts_failed() == 8);
  // At least half of the sum of 1 s, 2 s and so on to 64 s. Without delays, the
  // exchanges every 2 s and the appends would take about 20 s.
  CHECK(simulation.Now() - submitted >= core::milliseconds(63500));
}

}  // namespace
}  // namespace waxwingfront::shard
