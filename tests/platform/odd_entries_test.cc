// Entries, manifests, submissions and reports that another writer left or
// damaged.
#include <Poco/Base64Encoder.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "platform/entries.h"
#include "platform/executor_client.h"
#include "platform/store_client.h"
#include "support/fleet_fixture.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/executor_registry.h"
#include "waxwingfront/net/async_http_server.h"

namespace waxwingfront::tests {
namespace {

constexpr std::size_t kExecutors = 540;

std::string EntryAt(const std::string& address) {
  return R"({"service":"s","address":")" + address +
         R"(","zone":"z","version":"v1","slots":8,"state":"ready",)"
         R"("capacity":{"cpu":16000,"memory_request_mb":32768,"gpu":0},)"
         R"("labels":["a","r1-3"],"sequence":4,"born":17})";
}

std::string DeeplyNested() {
  constexpr std::size_t kLevels = 120'000;
  return R"({"service":)" + std::string(kLevels, '[') +
         std::string(kLevels, ']') + "}";
}

std::string Row(const std::string& key, const std::string& value,
                std::int64_t revision) {
  std::ostringstream encoded;
  Poco::Base64Encoder encoder(encoded);
  encoder.rdbuf()->setLineLength(0);
  encoder << value;
  encoder.close();
  return R"({"key":")" + key + R"(","value":")" + encoded.str() +
         R"(","revision":)" + std::to_string(revision) + "}";
}

// A store over loopback with `kExecutors` good entries and one odd one, and a
// registry that follows it through the adapter.
struct odd_entry_scene {
  explicit odd_entry_scene(std::string odd_entry) : odd(std::move(odd_entry)) {
    REQUIRE(server.Start());
    store = platform::MakeStoreServices(server.Address(), client);
    registry.emplace(
        loop, store, core, fleet::executor_registry_options{},
        fleet::executor_registry_hooks{
            .now = [] { return fleet::moment{.now = core::Now()}; },
            .on_listed = [this] { ++lists; },
            .on_change = [] {}},
        log);
    registry->Start();
    REQUIRE(RunUntil(loop, [this] { return lists == 1; }));
  }

  void Handle(const net::server_request& request,
              const net::async_http_server::responder& respond) {
    if (request.target.starts_with("/kv-range")) {
      respond({.body = List()});
      return;
    }
    watch = respond;
  }

  std::string List() const {
    std::string rows = Row("servers/odd", odd, 1);
    for (std::size_t i = 0; i < kExecutors; ++i) {
      rows += "," + Row("servers/i-" + std::to_string(i),
                        EntryAt("10.0.0.9:" + std::to_string(1000 + i)), 1);
    }
    return R"({"at":1,"has_more":false,"items":[)" + rows + "]}";
  }

  // Responds to the open watch with one change of each key.
  void Change(const std::vector<std::pair<std::string, std::string>>& entries) {
    REQUIRE(RunUntil(loop, [this] { return watch != nullptr; }));
    ++revision;
    std::string rows;
    for (const auto& [key, value] : entries) {
      rows += (rows.empty() ? "" : ",") + Row(key, value, revision);
    }
    const auto respond = std::exchange(watch, nullptr);
    respond({.body = R"({"at":)" + std::to_string(revision) + R"(,"events":[)" +
                     rows + "]}"});
    REQUIRE(RunUntil(loop, [this] { return watch != nullptr; }));
  }

  // Makes the registry read the list again.
  void ListAgain() {
    REQUIRE(RunUntil(loop, [this] { return watch != nullptr; }));
    const int before = lists;
    const auto respond = std::exchange(watch, nullptr);
    respond({.status = net::kHttpGone, .body = "{}"});
    REQUIRE(RunUntil(loop, [&] { return lists == before + 1; }));
  }

  std::size_t Registered() const {
    std::size_t registered = 0;
    for (const auto& [id, executor] : core.Executors()) {
      if (executor.registered) ++registered;
    }
    return registered;
  }

  std::string odd;
  int lists = 0;
  std::int64_t revision = 1;
  net::async_http_server::responder watch;
  net::event_loop loop;
  net::async_http_client client{loop, {}};
  net::async_http_server server{
      loop,
      {.address = "127.0.0.1:0"},
      [this](const net::server_request& request,
             const net::async_http_server::responder& respond) {
        Handle(request, respond);
      }};
  logging::event_log log{{.descriptor = -1}};
  fleet::store_services store;
  fleet::fleet_core core{{}};
  std::optional<fleet::executor_registry> registry;
};

// Guards against a process that ends, or stops following the list, because of
// one odd entry.
TEST_CASE("one odd entry among many leaves the others followed",
          "[platform][fleet]") {
  const std::string odd =
      GENERATE(DeeplyNested(), EntryAt("10.0.0.9:99999"), EntryAt("10.0.0.9"),
               EntryAt(""), std::string("\xff\xfe\x00", 3),
               std::string(R"({"capacity":{"cpu":1e999}})"),
               std::string(R"({"capacity":{"cpu":9223372036854775808}})"));
  odd_entry_scene scene(odd);
  CHECK(scene.Registered() == kExecutors);
  CHECK(scene.core.FindExecutor("odd") == nullptr);
  scene.Change({{"servers/odd", odd}, {"servers/new", EntryAt("10.0.0.8:80")}});
  CHECK(scene.Registered() == kExecutors + 1);
  scene.Change({{"servers/odd", EntryAt("10.0.0.7:80")}});
  CHECK(scene.Registered() == kExecutors + 2);
}

// Guards against an executor that is kept or removed depending on how the
// change was seen.
TEST_CASE("an executor whose entry turns malformed gets no new tasks",
          "[platform][fleet]") {
  odd_entry_scene scene(EntryAt("10.0.0.7:80"));
  REQUIRE(scene.Registered() == kExecutors + 1);
  SECTION("seen by the watch") {
    scene.Change({{"servers/odd", EntryAt("10.0.0.7:0")}});
  }
  SECTION("seen in the list") {
    scene.odd = EntryAt("10.0.0.7:0");
    scene.ListAgain();
  }
  CHECK(scene.Registered() == kExecutors);
  const fleet::executor_state* const executor = scene.core.FindExecutor("odd");
  CHECK((executor == nullptr || !executor->registered));
}

// Generates a document by replacing a few spans of a valid one.
rc::Gen<std::string> AlmostValid(std::string valid) {
  return rc::gen::exec([valid = std::move(valid)] {
    std::string json = valid;
    const int changes = *rc::gen::inRange(1, 3);
    for (int change = 0; change < changes; ++change) {
      const auto begin = *rc::gen::inRange<std::size_t>(0, json.size());
      const std::size_t value = json.find(':', begin);
      const bool replaces_value = *rc::gen::inRange(0, 8) > 0;
      if (replaces_value && value != std::string::npos) {
        const std::size_t end = json.find_first_of(",}", value);
        json.replace(
            value + 1, end == std::string::npos ? end : end - value - 1,
            *rc::gen::element<std::string>(
                "null", "true", "-1", "9223372036854775807",
                "-9223372036854775808", "18446744073709551616", "1e308",
                "1e400", "0.5", "\"\"", "\"10.0.0.9:65536\"", "\"\xff\"",
                "\"\\u0000\"", "[]", "{}", "[[[]]]", "[null]", "[{}]", ""));
      } else {
        json.replace(begin, *rc::gen::inRange<std::size_t>(0, 12),
                     *rc::gen::arbitrary<std::string>());
      }
    }
    return json;
  });
}

constexpr std::int64_t kMaxAmount = std::int64_t{1} << 40;

TEST_CASE("any executor's entry is rejected or within all ranges",
          "[platform][property]") {
  rc::prop("damaged entries", [] {
    const auto info = platform::ReadExecutor(
        "servers/i-7", *AlmostValid(EntryAt("10.0.0.9:80")));
    RC_CLASSIFY(info.has_value(), "accepted");
    if (!info) {
      RC_ASSERT(!info.error().detail.empty());
      RC_ASSERT(info.error().detail.size() < 512);
      return;
    }
    for (const std::int64_t amount :
         {info->capacity.processor_milli, info->capacity.memory_mib,
          info->capacity.accelerators}) {
      RC_ASSERT(amount >= 0);
      RC_ASSERT(amount <= kMaxAmount);
    }
    RC_ASSERT(info->born_ms >= 0);
    RC_ASSERT(info->address.find(':') != std::string::npos);
  });
}

TEST_CASE("any submission is rejected or within all ranges",
          "[platform][property]") {
  rc::prop("damaged submissions", [] {
    const auto job = platform::ReadJob(*AlmostValid(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"gpu":0,)"
        R"("memory_request_mb":256,"estimated_ms":900,"affinity":"r1-3"},)"
        R"({"count":2,"after":[0],"long_running":true,"target_ms":18,)"
        R"("max_per_server":1,"image":"x","may_miss":2}],"repetitions":3,)"
        R"("first_run_ms":1790000000000,"interval_ms":2000})"));
    RC_CLASSIFY(job.has_value(), "accepted");
    if (!job) return;
    std::int64_t cpu = 0;
    for (const schema::fleet_step& step : job->steps()) {
      RC_ASSERT(step.cpu_millis() >= 0);
      RC_ASSERT(step.cpu_millis() <= kMaxAmount);
      RC_ASSERT(step.estimated_ms() >= 0);
      RC_ASSERT(!__builtin_add_overflow(
          cpu, step.cpu_millis() * step.task_count(), &cpu));
    }
    // The record of an accepted job can be read back.
    schema::fleet_job copy;
    RC_ASSERT(copy.ParseFromString(job->SerializeAsString()));
  });
}

TEST_CASE("any manifest is rejected or within all ranges",
          "[platform][property]") {
  rc::prop("damaged manifests", [] {
    const auto manifest = platform::ReadManifest(*AlmostValid(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
        R"("timeout_ms":3000,"target_duration_ms":2500,"priority":1,)"
        R"("service":"s","max_attempts":3,"stretch":2.2}],)"
        R"("services":[{"name":"s","enforces_capacity":true}],)"
        R"("limits":{"max_header_bytes":1000,"max_body_bytes":2000}})"));
    RC_CLASSIFY(manifest.has_value(), "accepted");
    if (!manifest) return;
    for (const fleet::queue_spec& queue : manifest->queues) {
      RC_ASSERT(queue.max_attempts >= 1);
      RC_ASSERT(queue.stretch >= 0.0);
      RC_ASSERT(queue.target_duration.count() >= 0);
      RC_ASSERT(queue.request_timeout.count() >= 0);
    }
  });
}

// Returns what a hold yields if the executor responds with `body`.
core::result<fleet::hold_report> HoldWith(const std::string& body) {
  net::event_loop loop;
  net::async_http_client client(loop, {});
  net::async_http_server executor(
      loop, {.address = "127.0.0.1:0"},
      [&body](const net::server_request&,
              const net::async_http_server::responder& respond) {
        respond({.body = body});
      });
  REQUIRE(executor.Start());
  const fleet::executor_services services =
      platform::MakeExecutorServices(client, "");
  std::optional<core::result<fleet::hold_report>> report;
  services.hold(
      {.address = executor.Address(), .executor = "a"},
      [&report](const core::result<fleet::hold_report>& got) { report = got; });
  REQUIRE(RunUntil(loop, [&report] { return report.has_value(); }));
  return *report;
}

// Guards against a run that counts as over, or an end that counts as
// acknowledged, because a number in a report was cut to fewer bits.
TEST_CASE("an executor's report with a number out of range is rejected",
          "[platform]") {
  const std::string good =
      R"({"clock_ms":9,"born":1,"running":[["0123456789abcdef.0.0.1",2,"",41,7]],)"
      R"("finished":[[3,"0123456789abcdef.0.0.0",1,"done",""]]})";
  REQUIRE(HoldWith(good));
  const std::string body = GENERATE(
      std::string(R"({"running":[],"finished":[]})"),
      std::string(R"({"clock_ms":-1})"),
      std::string(R"({"clock_ms":9223372036854775807})"),
      std::string(R"({"clock_ms":9,"born":-1})"),
      std::string(
          R"({"clock_ms":9,"running":[["a.0.0.1",4294967298,"",41,7]]})"),
      std::string(R"({"clock_ms":9,"running":[["a.0.0.1",1e300,"",41,7]]})"),
      std::string(R"({"clock_ms":9,"running":[["a.0.0.1",0,"",41,7]]})"),
      std::string(R"({"clock_ms":9,"finished":[[-1,"a.0.0.1",1,"done",""]]})"),
      std::string(R"({"clock_ms":9,"finished":[[1,"a.0.0.1",-1,"done",""]]})"),
      DeeplyNested());
  const auto report = HoldWith(body);
  REQUIRE_FALSE(report);
  CHECK(report.error().code == core::error_code::kProtocol);
}

TEST_CASE("rough figures of a report are limited to their range",
          "[platform]") {
  const auto report =
      HoldWith(R"({"clock_ms":9,"running":[["a.0.0.1",2,"",1e300,-1e300],)"
               R"(["a.0.0.2",2,"",-7,12.5]]})");
  REQUIRE(report);
  REQUIRE(report->running.size() == 2);
  CHECK(report->running[0].percent == 100);
  CHECK(report->running[1].percent == 0);
  CHECK(report->running[1].reported_load == 12);
}

}  // namespace
}  // namespace waxwingfront::tests
