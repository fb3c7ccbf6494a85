#include "waxwingfront/fleet/locality.h"

#include <catch2/catch.hpp>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCores = 4000;

struct rack_fixture {
  fleet_fixture fixture{std::vector<queue_options>{{}}, {.remote_factor = 3.0}};

  void Add(const std::string& id, const std::string& rack) {
    fixture.AddExecutor(id, kCores);
    fleet::executor_info info = fixture.Core().FindExecutor(id)->info;
    info.rack = rack;
    fixture.Core().SetExecutor(info);
  }
  // Adds an executor without room for the job.
  void AddFull(const std::string& id, const std::string& rack) {
    Add(id, rack);
    fleet::executor_info info = fixture.Core().FindExecutor(id)->info;
    info.capacity.processor_milli = kCores / 2;
    fixture.Core().SetExecutor(info);
  }
  static schema::fleet_job Near(const std::string& rack) {
    schema::fleet_job job = JobOf("job", 1, kCores);
    job.mutable_steps(0)->set_data_rack(rack);
    return job;
  }
};

TEST_CASE("a task is placed on the rack of its data", "[fleet]") {
  rack_fixture racks;
  racks.Add("a", "r1");
  racks.Add("b", "r2");
  racks.fixture.Core().Submit(rack_fixture::Near("r2"), At(0));
  const fleet::orders decided = racks.fixture.Step(10);
  REQUIRE(decided.starts.size() == 1);
  CHECK(decided.starts[0].executor == "b");
}

TEST_CASE(
    "a task waits for its data's rack only while that costs less than the "
    "distance",
    "[fleet]") {
  rack_fixture racks;
  racks.Add("a", "r1");
  racks.AddFull("b", "r2");
  racks.fixture.Core().Submit(rack_fixture::Near("r2"), At(0));
  CHECK(racks.fixture.Step(10).starts.empty());
  CHECK(racks.fixture.Step(900).starts.empty());
  // Away from its data the 1 s task takes 2 s longer.
  CHECK(racks.fixture.Step(2010).starts.size() == 1);
}

// Guards against jobs that wait for as long as a long task's estimate allows,
// beside idle executors.
TEST_CASE("a task does not wait for a rack that is gone", "[fleet]") {
  rack_fixture racks;
  racks.Add("a", "r1");
  racks.Add("b", "r2");
  racks.fixture.Core().RemoveExecutor("b");
  schema::fleet_job job = rack_fixture::Near("r2");
  job.mutable_steps(0)->set_estimated_ms(90'000);
  racks.fixture.Core().Submit(job, At(0));
  CHECK(racks.fixture.Step(10).starts.size() == 1);
}

TEST_CASE("a job of which nothing runs waits for its data's rack only shortly",
          "[fleet]") {
  // The platform considers the job lost after 3 s.
  constexpr std::int64_t kIdleBoundMs = 3000;
  rack_fixture racks;
  racks.Add("a", "r1");
  SECTION("its tasks may run apart") {
    racks.AddFull("b", "r2");
    schema::fleet_job job = rack_fixture::Near("r2");
    job.mutable_steps(0)->set_estimated_ms(90'000);
    racks.fixture.Core().Submit(job, At(0));
    CHECK(racks.fixture.Step(10).starts.empty());
    CHECK(racks.fixture.Step(kIdleBoundMs - 500).starts.size() == 1);
  }
  SECTION("its tasks are a gang that one rack cannot hold") {
    racks.Add("b", "r2");
    schema::fleet_job job = JobOf("gang", 2, kCores);
    job.mutable_steps(0)->set_estimated_ms(90'000);
    job.mutable_steps(0)->set_gang(true);
    job.mutable_steps(0)->set_same_rack(true);
    racks.fixture.Core().Submit(job, At(0));
    CHECK(racks.fixture.Step(10).starts.empty());
    CHECK(racks.fixture.Step(kIdleBoundMs - 500).starts.size() == 2);
  }
}

TEST_CASE("a task without a data rack is placed on any executor", "[fleet]") {
  const fleet::locality distance(3.0);
  rack_fixture racks;
  racks.Add("a", "r1");
  racks.fixture.Core().Submit(rack_fixture::Near(""), At(0));
  CHECK(racks.fixture.Step(10).starts.size() == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
