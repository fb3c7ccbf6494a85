#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "support/fake_store.h"
#include "support/fleet_fixture.h"
#include "support/fleet_process.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;
using fleet::record_kind;
using fleet::RecordKey;

core::result<schema::fleet_reply> Call(net::event_loop& loop,
                                       fleet_process& process,
                                       const schema::fleet_request& request) {
  std::optional<core::result<schema::fleet_reply>> reply;
  process.node.Call(request, core::Now() + milliseconds(2000),
                    [&reply](core::result<schema::fleet_reply> got) {
                      reply = std::move(got);
                    });
  REQUIRE(RunUntil(loop, [&reply] { return reply.has_value(); }));
  return *reply;
}

void CheckRefused(net::event_loop& loop, fleet_process& process) {
  schema::fleet_request submit;
  *submit.mutable_submit() = JobOf("job", 1, 1000);
  schema::fleet_request show;
  show.set_show("job");
  schema::fleet_request cancel;
  cancel.set_cancel("job");
  for (const auto& request : {submit, show, cancel, submit}) {
    const auto reply = Call(loop, process, request);
    REQUIRE_FALSE(reply);
    CHECK(reply.error().code == core::error_code::kRecordDamaged);
  }
}

// Guards against a job that is accepted, but that the next leader cannot load.
TEST_CASE("a job whose record cannot be read is neither unknown nor accepted",
          "[fleet]") {
  net::event_loop loop;
  fake_store store(loop);
  store.Put("manifest", "1");
  const std::string job = RecordKey(record_kind::kJob, "job");
  const std::string progress = RecordKey(record_kind::kProgress, "job");
  SECTION("the job itself") { store.Put(job, "\xff damaged"); }
  SECTION("its progress") {
    store.Put(job, JobOf("job", 1, 1000).SerializeAsString());
    store.Put(progress, "\xff damaged");
  }
  const std::string before = store.Value(job);
  fleet_process weak(loop, store, kWeak);
  fleet_process strong(loop, store, kStrong);
  REQUIRE(RunUntil(loop, [&] { return strong.Leads(store); }));
  CheckRefused(loop, strong);
  CheckRefused(loop, weak);
  strong.node.Resign();
  REQUIRE(RunUntil(loop, [&] { return weak.Leads(store); }));
  CheckRefused(loop, weak);
  CHECK(store.Value(job) == before);
}

}  // namespace
}  // namespace waxwingfront::tests
