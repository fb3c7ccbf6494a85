#include "waxwingfront/fleet/locality.h"

#include <catch2/catch.hpp>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCores = 4000;

struct racks {
  fleet_fixture scene{std::vector<queue_options>{{}}, {.remote_factor = 3.0}};

  void Add(const std::string& id, const std::string& rack) {
    scene.AddExecutor(id, kCores);
    fleet::executor_info info = scene.Core().FindExecutor(id)->info;
    info.rack = rack;
    scene.Core().SetExecutor(info);
  }
  static schema::fleet_job Near(const std::string& rack) {
    schema::fleet_job job = JobOf("job", 1, kCores);
    job.mutable_steps(0)->set_data_rack(rack);
    return job;
  }
};

TEST_CASE("a task goes to the rack of its data", "[fleet]") {
  racks site;
  site.Add("a", "r1");
  site.Add("b", "r2");
  site.scene.Core().Submit(racks::Near("r2"), At(0));
  const fleet::orders decided = site.scene.Step(10);
  REQUIRE(decided.starts.size() == 1);
  CHECK(decided.starts[0].executor == "b");
}

TEST_CASE("a task waits for its data's rack for less than the distance costs",
          "[fleet]") {
  racks site;
  site.Add("a", "r1");
  site.scene.Core().Submit(racks::Near("r2"), At(0));
  CHECK(site.scene.Step(10).starts.empty());
  // Away from its data the task of 1 s takes 2 s longer.
  CHECK(site.scene.Step(2010).starts.size() == 1);
}

TEST_CASE("without a rack of data all executors are alike", "[fleet]") {
  const fleet::locality distance(3.0);
  racks site;
  site.Add("a", "r1");
  site.scene.Core().Submit(racks::Near(""), At(0));
  CHECK(site.scene.Step(10).starts.size() == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
