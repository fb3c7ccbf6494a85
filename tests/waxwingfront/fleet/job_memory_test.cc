// Guards against a job that is accepted and then costs more memory than a
// process has.
#include "waxwingfront/fleet/job_memory.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "support/fake_store.h"
#include "support/fleet_fixture.h"
#include "support/fleet_process.h"
#include "support/loop_runner.h"
#include "support/repeating_site.h"
#include "waxwingfront/fleet/job_cost.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::uint32_t kWidth = 36;
constexpr std::size_t kTasks = 4 * std::size_t{kWidth};

// Four steps in a row that repeat each hour, the first time at `first_ms`.
schema::fleet_job Hourly(std::string_view id, std::uint32_t times,
                         std::int64_t first_ms) {
  schema::fleet_job job = JobOf(id, kWidth, 1);
  for (std::uint32_t s = 1; s < 4; ++s) {
    *job.add_steps() = job.steps(0);
    job.mutable_steps(static_cast<int>(s))->add_after(s - 1);
  }
  job.set_accepted_unix_ms(At(0).unix_ms);
  job.set_repetitions(times);
  job.set_first_run_ms(At(first_ms).unix_ms);
  job.set_interval_ms(kHourMs);
  return job;
}

std::size_t StatesOf(fleet::job_state& job) {
  std::size_t states = 0;
  job.ForEachTask([&states](fleet::task_state&) { ++states; });
  return states;
}

TEST_CASE("a job that repeats has states for its near occurrences only",
          "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("e", 100'000);
  const schema::fleet_job job = Hourly("job", 250, 1000);
  SECTION("accepted") { fixture.Core().Submit(job, At(0)); }
  SECTION("loaded") { fixture.Core().Restore(job, 1, std::nullopt, 0, At(0)); }
  SECTION("loaded from a record of an earlier version") {
    schema::fleet_progress progress;
    progress.set_state(schema::FLEET_RUNNING);
    for (std::uint32_t k = 0; k < 100; ++k) {
      for (std::uint32_t i = 0; i < kTasks; ++i) {
        schema::fleet_task& task = *progress.add_tasks();
        task.set_occurrence(k);
        task.set_step(i / kWidth);
        task.set_index(i % kWidth);
        task.set_run(1);
        task.set_succeeded(true);
      }
    }
    schema::fleet_job late = job;
    late.set_first_run_ms(At(1000).unix_ms - 100 * kHourMs);
    fixture.Core().Restore(late, 1, progress, 1, At(0));
  }
  fixture.StepAccepted(500);
  fixture.Report("e", 1500, {});
  REQUIRE(fixture.StepAccepted(1500).starts.size() == kWidth);
  fleet::job_state& state =
      *fixture.Core().FindExecutor("e")->active.front()->job;
  CHECK(StatesOf(state) == kTasks);
}

TEST_CASE("the states of an ended job are freed while it can be queried",
          "[fleet]") {
  fleet::fleet_state state;
  fleet::job_memory memory(state, {});
  fleet::job_state& job = state.AddJob(
      std::make_unique<fleet::job_state>(JobOf("job", 10, 1), At(0).now));
  memory.OnAdded(job, At(0));
  REQUIRE(StatesOf(job) == 10);
  job.SetState(schema::FLEET_CANCELLED, 0);
  memory.Update(At(1));
  CHECK(StatesOf(job) == 0);
  CHECK(job.WaitingTasks() == 0);
}

// Guards against processes of the version before that run occurrences again,
// and against records that grow with each occurrence.
TEST_CASE("records list the done tasks of jobs with few tasks only",
          "[fleet]") {
  const std::uint32_t times = GENERATE(8U, 250U);
  fleet::job_state job(Hourly("job", times, 0), At(0).now);
  for (std::uint32_t k = 0; k < 5; ++k) {
    job.MakeOccurrence(k);
    job.ForEachTask([](fleet::task_state& task) {
      task.run = 1;
      task.SetPhase(fleet::task_phase::kSucceeded);
    });
    job.FreeEndedOccurrences();
  }
  CHECK(job.NextOccurrence() == 5);
  const schema::fleet_progress record = job.ToRecord();
  CHECK(record.done_occurrences_size() == 5);
  CHECK(static_cast<std::size_t>(record.tasks_size()) ==
        (times == 8 ? 5 * kTasks : 0));
  fleet::job_state loaded(Hourly("job", times, 0), At(0).now);
  loaded.Restore(record);
  CHECK(loaded.NextOccurrence() == 5);
  CHECK(loaded.FirstIncomplete() == 5);
  CHECK(loaded.AnyBegun());
  CHECK(StatesOf(loaded) == 0);
}

TEST_CASE("overdue occurrences all run", "[fleet]") {
  repeating_site site(Hourly("job", 12, -20 * kHourMs));
  site.TakeOver(0);
  for (std::int64_t i = 1; i < 200 && !site.Ended(); ++i) site.Step(100 * i);
  CHECK(site.Ended());
  CHECK(site.Starts().size() == 12 * kTasks);
}

TEST_CASE("jobs that repeat run each task once and end completed", "[fleet]") {
  rc::prop("whatever is due when leaders change", [] {
    schema::fleet_job job = JobOf("job", *rc::gen::inRange(1, 5), 1);
    if (*rc::gen::arbitrary<bool>()) {
      *job.add_steps() = job.steps(0);
      job.mutable_steps(1)->add_after(0);
    }
    const auto times = *rc::gen::inRange<std::uint32_t>(0, 40);
    job.set_accepted_unix_ms(At(0).unix_ms);
    job.set_repetitions(times);
    job.set_first_run_ms(At(*rc::gen::inRange(-20'000, 2000)).unix_ms);
    job.set_interval_ms(*rc::gen::inRange(0, 1000));
    fleet::fleet_options options;
    // With the least memory, one occurrence at a time.
    options.memory.process_mb = *rc::gen::inRange(0, 2);
    if (*rc::gen::arbitrary<bool>()) options.memory.job_share = 1e-6;
    repeating_site site(job, options);
    site.TakeOver(0);
    std::int64_t now = 0;
    for (int i = 0; i < 1000 && !site.Ended(); ++i) {
      now += *rc::gen::inRange(50, 400);
      if (*rc::gen::inRange(0, 10) == 0) site.TakeOver(now);
      site.Step(now);
    }
    RC_ASSERT(site.Ended());
    std::size_t tasks = 0;
    for (const auto& step : job.steps()) tasks += step.task_count();
    RC_ASSERT(site.Starts().size() == std::max<std::size_t>(1, times) * tasks);
    for (const auto& [task, starts] : site.Starts()) {
      RC_ASSERT(starts.count == 1);
      RC_ASSERT(times == 0 ||
                starts.first_unix_ms >=
                    job.first_run_ms() + task.occurrence * job.interval_ms());
    }
  });
}

// Limits under which one job of `Hourly` fits, and no more.
constexpr fleet::job_memory_options kSmall{.process_mb = 1, .job_share = 0.09};

TEST_CASE("records that exceed the memory load in bounded memory and all run",
          "[fleet]") {
  fleet::fleet_state state;
  fleet::job_memory memory(state, kSmall);
  constexpr int kJobs = 30;
  for (int i = 0; i < kJobs; ++i) {
    schema::fleet_job job = Hourly(std::to_string(i), 0, 0);
    memory.OnAdded(state.AddJob(std::make_unique<fleet::job_state>(
                       job, At(0).now, fleet::occurrence_creation::kDeferred)),
                   At(0));
  }
  std::size_t finished = 0;
  for (int round = 0; round < kJobs; ++round) {
    std::size_t states = 0;
    for (const auto& [id, job] : state.jobs) {
      states += StatesOf(*job);
      if (StatesOf(*job) == 0 || job->Final()) continue;
      job->SetState(schema::FLEET_COMPLETED, 0);
      ++finished;
    }
    CHECK(states <= kTasks);
    memory.Update(At(round));
  }
  CHECK(finished == kJobs);
  CHECK(memory.Withheld() == 0);
}

TEST_CASE("a new job that all live ones leave no memory for is refused",
          "[fleet]") {
  fleet::fleet_options options;
  options.memory = kSmall;
  fleet_fixture fixture({{}}, options);
  fleet::fleet_core& core = fixture.Core();
  const schema::fleet_job first = Hourly("first", 250, kHourMs);
  REQUIRE_FALSE(core.AdmitMemory(first));
  core.Submit(first, At(0));
  fixture.Step(0);
  const auto refusal = core.AdmitMemory(Hourly("second", 250, kHourMs));
  REQUIRE(refusal);
  CHECK(refusal->needed > fleet::OccurrenceCost(first, kTasks));
  CHECK(refusal->retry_after.count() > 0);
  CHECK(refusal->limit == 90'000);
  core.Cancel("first", At(10));
  fixture.Step(100);
  CHECK_FALSE(core.AdmitMemory(Hourly("second", 250, kHourMs)));
}

// Guards against callers that wait for an answer, or that take 503 for a fault
// after which the job may run.
TEST_CASE("a caller whose job is refused for memory is told when to return",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  fleet::fleet_node_options options = fleet_process::Options(kStrong);
  options.leader.core.memory = kSmall;
  fleet_process process(loop, store, options);
  REQUIRE(RunUntil(loop, [&] { return process.Leads(store); }));
  std::vector<core::result<schema::fleet_reply>> replies;
  for (const std::string_view id : {"first", "second", "first"}) {
    const std::size_t sent = replies.size() + 1;
    schema::fleet_request submit;
    *submit.mutable_submit() = Hourly(id, 250, kHourMs);
    process.node.Call(submit, core::Now() + core::milliseconds(2000),
                      [&replies](core::result<schema::fleet_reply> reply) {
                        replies.push_back(std::move(reply));
                      });
    REQUIRE(RunUntil(loop, [&] { return replies.size() == sent; }));
    REQUIRE(replies.back());
  }
  CHECK(replies[0]->outcome() == schema::FLEET_OK);
  CHECK(replies[1]->outcome() == schema::FLEET_OVERLOADED);
  CHECK(replies[1]->retry_after_ms() >= 1000);
  // It was accepted before.
  CHECK(replies[2]->outcome() == schema::FLEET_OK);
  CHECK(process.Events("job_without_memory") == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
