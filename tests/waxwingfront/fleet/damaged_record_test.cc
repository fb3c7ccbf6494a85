#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "support/fake_store.h"
#include "support/fleet_fixture.h"
#include "support/fleet_process.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/fleet_loader.h"

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

// A loader at a store whose pages of ranges the test supplies.
struct loader_scene {
  loader_scene() {
    store.get = [this](std::string_view key, auto done) {
      loop.After(milliseconds(1), [key = std::string(key), done] {
        done(fleet::store_page{.items = {{.key = key}}, .at = 1});
      });
    };
    store.range = [this](std::string_view prefix, std::string_view after,
                         auto done) {
      loop.After(milliseconds(1), [this, prefix = std::string(prefix),
                                   after = std::string(after), done] {
        ++reads;
        done(page(prefix, after));
      });
    };
    log.on_event = [this](std::string_view event) {
      if (event == "read_damaged") ++reports;
    };
    loader.Start();
  }

  net::event_loop loop;
  fleet::store_services store;
  std::function<core::result<fleet::store_page>(const std::string& prefix,
                                                const std::string& after)>
      page;
  int reads = 0;
  int reports = 0;
  fleet::fleet_core core{{}};
  logging::event_log log{{.descriptor = -1}};
  bool loaded = false;
  fleet::fleet_loader loader{
      loop,
      store,
      core,
      milliseconds(10),
      {.now = [] { return At(0); }, .on_loaded = [this] { loaded = true; }},
      log};
};

// Guards against a leader that never takes over because of one row.
TEST_CASE("a row that cannot be read costs its own job only", "[fleet]") {
  loader_scene scene;
  const auto good = [](std::string_view id) {
    return fleet::store_item{.key = RecordKey(record_kind::kJob, id),
                             .value = JobOf(id, 1, 1000).SerializeAsString(),
                             .revision = 2};
  };
  std::vector<std::string> pages;
  scene.page = [&](const std::string& prefix, const std::string& after) {
    fleet::store_page page{.at = 2};
    if (prefix == fleet::kProgressPrefix) {
      page.unreadable = {{.key = RecordKey(record_kind::kProgress, "b"),
                          .cause = "not base64"}};
      return page;
    }
    pages.push_back(after);
    if (after.empty()) {
      page.items = {good("a"), good("b")};
      page.unreadable = {
          {.key = RecordKey(record_kind::kJob, "c"), .cause = "not base64"}};
      page.has_more = true;
    } else {
      page.items = {good("d")};
    }
    return page;
  };
  REQUIRE(RunUntil(scene.loop, [&scene] { return scene.loaded; }));
  // The first page is read again, as its row may be readable then.
  CHECK(pages == std::vector<std::string>{"", "", "", "", "",
                                          RecordKey(record_kind::kJob, "c")});
  CHECK(scene.core.HasJob("a"));
  CHECK_FALSE(scene.core.HasJob("b"));
  CHECK(scene.core.IsDamaged("b"));
  CHECK(scene.core.IsDamaged("c"));
  CHECK(scene.core.HasJob("d"));
  CHECK_FALSE(scene.core.IsDamaged("d"));
}

// Guards against a job that is given up, and doubled by the next leader, for
// one response that could not be read.
TEST_CASE("a row that can be read soon costs no job", "[fleet]") {
  loader_scene scene;
  int damaged_reads = 2;
  scene.page = [&](const std::string& prefix, const std::string&) {
    fleet::store_page page{.at = 2};
    if (prefix == fleet::kProgressPrefix) return page;
    const std::string key = RecordKey(record_kind::kJob, "a");
    if (damaged_reads-- > 0) {
      page.unreadable = {{.key = key, .cause = "not base64"}};
    } else {
      page.items = {{.key = key,
                     .value = JobOf("a", 1, 1000).SerializeAsString(),
                     .revision = 2}};
    }
    return page;
  };
  REQUIRE(RunUntil(scene.loop, [&scene] { return scene.loaded; }));
  CHECK(scene.core.HasJob("a"));
  CHECK_FALSE(scene.core.IsDamaged("a"));
}

// Guards against a leader that ends, and each of its successors after it.
TEST_CASE("a row of another prefix is passed over", "[fleet]") {
  loader_scene scene;
  scene.page = [](const std::string& prefix, const std::string&) {
    fleet::store_page page{.at = 2};
    if (prefix == fleet::kProgressPrefix) return page;
    page.items = {{.key = "wf", .value = "x", .revision = 2}};
    return page;
  };
  CHECK(RunUntil(scene.loop, [&scene] { return scene.loaded; }));
}

// Guards against a leader that reads without a pause and without a log line.
TEST_CASE("a page that cannot be read is read less and less often and logged",
          "[fleet]") {
  loader_scene scene;
  bool readable = false;
  scene.page = [&](const std::string&,
                   const std::string&) -> core::result<fleet::store_page> {
    if (readable) return fleet::store_page{.at = 2};
    return core::Failure(core::error_code::kProtocol, "no readable page");
  };
  RunFor(scene.loop, milliseconds(1000));
  CHECK(scene.reads <= 7);
  CHECK(scene.reads >= 3);
  CHECK(scene.reports == scene.reads);
  CHECK_FALSE(scene.loaded);
  readable = true;
  CHECK(RunUntil(scene.loop, [&scene] { return scene.loaded; }));
}

}  // namespace
}  // namespace waxwingfront::tests
