// Gangs are tasks that work only together. Guards against members that wait for
// others that were never started.
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using fleet::run_end;
using fleet::start_outcome;

constexpr std::int64_t kCores = 4000;
constexpr std::size_t kMaxRecords = 15;

schema::fleet_job Gang(std::uint32_t members, std::int64_t cpu_millis) {
  schema::fleet_job job = JobOf("job", members, cpu_millis);
  job.mutable_steps(0)->set_gang(true);
  return job;
}

fleet::ended_report End(std::uint64_t number, const fleet::start_order& start,
                        run_end how) {
  return {.number = number, .task = start.task, .run = start.run, .how = how};
}

struct started_gang {
  fleet_fixture fixture;
  std::vector<fleet::start_order> starts;

  started_gang() {
    fixture.AddExecutor("a", kCores);
    fixture.AddExecutor("b", kCores);
    fixture.Core().Submit(Gang(2, kCores), At(0));
    starts = fixture.StepAccepted(10).starts;
  }
};

TEST_CASE("a gang starts as a whole or not at all", "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCores);
  fixture.Core().Submit(Gang(2, kCores), At(0));
  CHECK(fixture.Step(10).starts.empty());
  fixture.AddExecutor("b", kCores, 20);
  const fleet::orders decided = fixture.Step(30);
  REQUIRE(decided.starts.size() == 2);
  CHECK(decided.starts[0].run == decided.starts[1].run);
  CHECK(decided.starts[0].executor != decided.starts[1].executor);
}

TEST_CASE("capacity that a gang cannot use stays available to other jobs",
          "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCores);
  fixture.Core().Submit(Gang(2, kCores), At(0));
  schema::fleet_job other = JobOf("other", 1, kCores);
  fixture.Core().Submit(other, At(5));
  const fleet::orders decided = fixture.Step(10);
  REQUIRE(decided.starts.size() == 1);
  CHECK(decided.starts[0].task.job == "other");
}

TEST_CASE("the completion of one gang member completes the gang", "[fleet]") {
  started_gang gang;
  REQUIRE(gang.starts.size() == 2);
  const fleet::start_order& first = gang.starts[0];
  gang.fixture.Report(first.executor, 500, {}, {End(1, first, run_end::kDone)});
  gang.fixture.Store(510);
  CHECK(gang.fixture.Core().StoredState("job") == schema::FLEET_COMPLETED);
}

TEST_CASE(
    "a gang member's end is not acknowledged before the gang's end is stored",
    "[fleet]") {
  started_gang gang;
  REQUIRE(gang.starts.size() == 2);
  const fleet::start_order& first = gang.starts[0];
  const fleet::start_order& second = gang.starts[1];
  gang.fixture.Report(first.executor, 500, {}, {End(1, first, run_end::kDone)});
  gang.fixture.Report(second.executor, 501, {},
                      {End(1, second, run_end::kDone)});
  CHECK(gang.fixture.Core().FindExecutor(second.executor)->acknowledged == 0);
  gang.fixture.Store(510);
  CHECK(gang.fixture.Core().FindExecutor(second.executor)->acknowledged == 1);
}

TEST_CASE(
    "a gang with a member that did not start is restarted with a higher run",
    "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCores);
  fixture.AddExecutor("b", kCores);
  fixture.Core().Submit(Gang(2, kCores), At(0));
  const fleet::orders first = fixture.Step(10);
  REQUIRE(first.starts.size() == 2);
  fixture.Core().OnStartResponse(first.starts[0], start_outcome::kAccepted,
                                 At(12));
  fixture.Core().OnStartResponse(first.starts[1], start_outcome::kNoCapacity,
                                 At(12));
  const fleet::orders stopped = fixture.Step(20);
  CHECK(stopped.starts.empty());
  REQUIRE(stopped.stops.size() == 1);
  CHECK(stopped.stops[0].task == first.starts[0].task);
  fixture.Report(first.starts[0].executor, 900, {},
                 {End(1, first.starts[0], run_end::kStopped)});
  const fleet::orders again = fixture.Step(910);
  REQUIRE(again.starts.size() == 2);
  CHECK(again.starts[0].run == first.starts[0].run + 1);
  CHECK(again.starts[1].run == first.starts[0].run + 1);
}

TEST_CASE("a failed gang run counts once, and the last attempt fails the job",
          "[fleet]") {
  fleet_fixture fixture(std::vector<queue_options>{{.max_attempts = 2}});
  fixture.AddExecutor("a", kCores);
  fixture.AddExecutor("b", kCores);
  fixture.Core().Submit(Gang(2, kCores), At(0));
  const auto fail_both = [&fixture](std::int64_t at, std::uint64_t number) {
    const std::vector<fleet::start_order> starts =
        fixture.StepAccepted(at).starts;
    REQUIRE(starts.size() == 2);
    for (const fleet::start_order& start : starts) {
      fixture.Report(start.executor, at + 500, {},
                     {End(number, start, run_end::kFailed)});
    }
    fixture.Store(at + 510);
  };
  fail_both(10, 1);
  CHECK(fixture.Core().StoredState("job") == schema::FLEET_RUNNING);
  fail_both(5000, 2);
  CHECK(fixture.Core().StoredState("job") == schema::FLEET_FAILED);
}

TEST_CASE("a failed gang run counts once across a change of the leader",
          "[fleet]") {
  const std::vector<queue_options> queues{{.max_attempts = 2}};
  fleet_fixture fixture(queues);
  fixture.AddExecutor("a", kCores);
  fixture.AddExecutor("b", kCores);
  fixture.Core().Submit(Gang(2, kCores), At(0));
  const std::vector<fleet::start_order> starts =
      fixture.StepAccepted(10).starts;
  REQUIRE(starts.size() == 2);
  fixture.Report(starts[0].executor, 500, {},
                 {End(1, starts[0], run_end::kFailed)});
  const fleet::write_batch write =
      fixture.Core().Journal().NextBatch(kMaxRecords);
  REQUIRE(write.records.size() == 1);
  schema::fleet_progress stored;
  REQUIRE(stored.ParseFromString(write.records[0].value));

  fleet_fixture successor(queues);
  successor.Core().Restore(Gang(2, kCores), 1, stored, 2, At(600));
  successor.Core().SetExecutor(
      fixture.Core().FindExecutor(starts[1].executor)->info);
  successor.Report(starts[1].executor, 620, {},
                   {End(1, starts[1], run_end::kFailed)});
  successor.Store(630);
  CHECK(successor.Core().StoredState("job") == schema::FLEET_RUNNING);
}

TEST_CASE("all gang members restart from the same checkpoint", "[fleet]") {
  started_gang gang;
  REQUIRE(gang.starts.size() == 2);
  const fleet::start_order& first = gang.starts[0];
  gang.fixture.Report(
      first.executor, 500,
      {{.task = first.task, .run = first.run, .checkpoint = "half"}});
  gang.fixture.Report(first.executor, 700, {},
                      {End(1, first, run_end::kFailed)});
  gang.fixture.Report(gang.starts[1].executor, 700, {},
                      {End(1, gang.starts[1], run_end::kBroken)});
  const fleet::orders again = gang.fixture.Step(5000);
  REQUIRE(again.starts.size() == 2);
  CHECK(again.starts[0].checkpoint == "half");
  CHECK(again.starts[1].checkpoint == "half");
}

TEST_CASE("a same-rack gang is placed on one rack if capacity allows",
          "[fleet]") {
  fleet_fixture fixture;
  const auto add = [&fixture](const std::string& id, const std::string& rack) {
    fixture.AddExecutor(id, kCores);
    fleet::executor_info info = fixture.Core().FindExecutor(id)->info;
    info.rack = rack;
    fixture.Core().SetExecutor(info);
  };
  add("a", "r1");
  add("b", "r2");
  add("c", "r2");
  schema::fleet_job job = Gang(2, kCores);
  job.mutable_steps(0)->set_same_rack(true);
  fixture.Core().Submit(job, At(0));
  std::set<std::string> used;
  for (const fleet::start_order& start : fixture.Step(10).starts) {
    used.insert(start.executor);
  }
  CHECK(used == std::set<std::string>{"b", "c"});
}

}  // namespace
}  // namespace waxwingfront::tests
