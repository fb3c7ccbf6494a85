// Gangs: tasks that work only together. Guards against members that wait alone
// for others that were never started.
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
  fleet_fixture scene;
  std::vector<fleet::start_order> starts;

  started_gang() {
    scene.AddExecutor("a", kCores);
    scene.AddExecutor("b", kCores);
    scene.Core().Submit(Gang(2, kCores), At(0));
    starts = scene.StepAccepted(10).starts;
  }
};

TEST_CASE("a gang starts as a whole or not at all", "[fleet]") {
  fleet_fixture scene;
  scene.AddExecutor("a", kCores);
  scene.Core().Submit(Gang(2, kCores), At(0));
  CHECK(scene.Step(10).starts.empty());
  scene.AddExecutor("b", kCores, 20);
  const fleet::orders decided = scene.Step(30);
  REQUIRE(decided.starts.size() == 2);
  CHECK(decided.starts[0].run == decided.starts[1].run);
  CHECK(decided.starts[0].executor != decided.starts[1].executor);
}

TEST_CASE("room that a gang could not use stays free for others", "[fleet]") {
  fleet_fixture scene;
  scene.AddExecutor("a", kCores);
  scene.Core().Submit(Gang(2, kCores), At(0));
  schema::fleet_job other = JobOf("other", 1, kCores);
  scene.Core().Submit(other, At(5));
  const fleet::orders decided = scene.Step(10);
  REQUIRE(decided.starts.size() == 1);
  CHECK(decided.starts[0].task.job == "other");
}

TEST_CASE("the end of one member is that of all", "[fleet]") {
  started_gang gang;
  REQUIRE(gang.starts.size() == 2);
  const fleet::start_order& first = gang.starts[0];
  gang.scene.Report(first.executor, 500, {}, {End(1, first, run_end::kDone)});
  gang.scene.Store(510);
  CHECK(gang.scene.Core().StoredState("job") == schema::FLEET_COMPLETED);
}

TEST_CASE("an end of a member is not forgotten before the gang's is stored",
          "[fleet]") {
  started_gang gang;
  REQUIRE(gang.starts.size() == 2);
  const fleet::start_order& first = gang.starts[0];
  const fleet::start_order& second = gang.starts[1];
  gang.scene.Report(first.executor, 500, {}, {End(1, first, run_end::kDone)});
  gang.scene.Report(second.executor, 501, {}, {End(1, second, run_end::kDone)});
  CHECK(gang.scene.Core().FindExecutor(second.executor)->acknowledged == 0);
  gang.scene.Store(510);
  CHECK(gang.scene.Core().FindExecutor(second.executor)->acknowledged == 1);
}

TEST_CASE(
    "a gang with a member that was not started is stopped and started "
    "anew with a higher run",
    "[fleet]") {
  fleet_fixture scene;
  scene.AddExecutor("a", kCores);
  scene.AddExecutor("b", kCores);
  scene.Core().Submit(Gang(2, kCores), At(0));
  const fleet::orders first = scene.Step(10);
  REQUIRE(first.starts.size() == 2);
  scene.Core().OnStartResponse(first.starts[0], start_outcome::kAccepted,
                               At(12));
  scene.Core().OnStartResponse(first.starts[1], start_outcome::kNoCapacity,
                               At(12));
  const fleet::orders stopped = scene.Step(20);
  CHECK(stopped.starts.empty());
  REQUIRE(stopped.stops.size() == 1);
  CHECK(stopped.stops[0].task == first.starts[0].task);
  scene.Report(first.starts[0].executor, 900, {},
               {End(1, first.starts[0], run_end::kStopped)});
  const fleet::orders again = scene.Step(910);
  REQUIRE(again.starts.size() == 2);
  CHECK(again.starts[0].run == first.starts[0].run + 1);
  CHECK(again.starts[1].run == first.starts[0].run + 1);
}

TEST_CASE("a failed run of a gang counts once, and its last one fails the job",
          "[fleet]") {
  fleet_fixture scene(std::vector<queue_options>{{.max_attempts = 2}});
  scene.AddExecutor("a", kCores);
  scene.AddExecutor("b", kCores);
  scene.Core().Submit(Gang(2, kCores), At(0));
  const auto fail_both = [&scene](std::int64_t at, std::uint64_t number) {
    const std::vector<fleet::start_order> starts =
        scene.StepAccepted(at).starts;
    REQUIRE(starts.size() == 2);
    for (const fleet::start_order& start : starts) {
      scene.Report(start.executor, at + 500, {},
                   {End(number, start, run_end::kFailed)});
    }
    scene.Store(at + 510);
  };
  fail_both(10, 1);
  CHECK(scene.Core().StoredState("job") == schema::FLEET_RUNNING);
  fail_both(5000, 2);
  CHECK(scene.Core().StoredState("job") == schema::FLEET_FAILED);
}

TEST_CASE("all members start from the same checkpoint", "[fleet]") {
  started_gang gang;
  REQUIRE(gang.starts.size() == 2);
  const fleet::start_order& first = gang.starts[0];
  gang.scene.Report(
      first.executor, 500,
      {{.task = first.task, .run = first.run, .checkpoint = "half"}});
  gang.scene.Report(first.executor, 700, {}, {End(1, first, run_end::kFailed)});
  gang.scene.Report(gang.starts[1].executor, 700, {},
                    {End(1, gang.starts[1], run_end::kBroken)});
  const fleet::orders again = gang.scene.Step(5000);
  REQUIRE(again.starts.size() == 2);
  CHECK(again.starts[0].checkpoint == "half");
  CHECK(again.starts[1].checkpoint == "half");
}

TEST_CASE("a gang that works best on one rack gets one if there is room",
          "[fleet]") {
  fleet_fixture scene;
  const auto add = [&scene](const std::string& id, const std::string& rack) {
    scene.AddExecutor(id, kCores);
    fleet::executor_info info = scene.Core().FindExecutor(id)->info;
    info.rack = rack;
    scene.Core().SetExecutor(info);
  };
  add("a", "r1");
  add("b", "r2");
  add("c", "r2");
  schema::fleet_job job = Gang(2, kCores);
  job.mutable_steps(0)->set_same_rack(true);
  scene.Core().Submit(job, At(0));
  std::set<std::string> used;
  for (const fleet::start_order& start : scene.Step(10).starts) {
    used.insert(start.executor);
  }
  CHECK(used == std::set<std::string>{"b", "c"});
}

}  // namespace
}  // namespace waxwingfront::tests
