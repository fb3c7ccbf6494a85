#include "platform/entries.h"

#include <catch2/catch.hpp>
#include <string>

namespace waxwingfront::tests {
namespace {

using platform::ReadExecutor;
using platform::ReadJob;
using platform::ReadManifest;

constexpr std::string_view kEntry =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_remaining_ms":0,)"
    R"("capacity":{"cpu":16000,"memory_request_mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":17})";

std::string Replaced(std::string_view text, std::string_view from,
                     std::string_view to) {
  std::string changed(text);
  changed.replace(changed.find(from), from.size(), to);
  return changed;
}

TEST_CASE("the fields of an executor's entry are parsed", "[platform]") {
  const auto info = ReadExecutor("servers/i-7", kEntry);
  REQUIRE(info);
  CHECK(info->id == "i-7");
  CHECK(info->born_ms == 17);
  CHECK(info->capacity.processor_milli == 16000);
  CHECK(info->capacity.memory_mib == 32768);
  CHECK(info->labels.size() == 2);
  CHECK_FALSE(info->draining);
}

TEST_CASE("an entry tells when a draining executor leaves at the earliest",
          "[platform]") {
  const std::string draining =
      Replaced(Replaced(kEntry, R"("ready")", R"("draining")"),
               R"("sequence":4)", R"("remaining_ms":7000,"sequence":4)");
  const auto info = ReadExecutor("servers/i-7", draining);
  REQUIRE(info);
  CHECK(info->leaves_at_ms == 482113 + 7000);
  const auto ready = ReadExecutor("servers/i-7", kEntry);
  REQUIRE(ready);
  CHECK(ready->leaves_at_ms == 0);
}

TEST_CASE("a malformed entry or one of another writer is rejected",
          "[platform]") {
  const std::string broken =
      GENERATE(std::string("\xff\xfe"), std::string("[]"), std::string(""),
               Replaced(kEntry, R"("ready")", R"("sleeping")"),
               Replaced(kEntry, R"("cpu":16000)", R"("cpu":"many")"),
               Replaced(kEntry, R"("address")", R"("adress")"),
               Replaced(kEntry, R"(["a","r1-3"])", "7"));
  CHECK_FALSE(ReadExecutor("servers/i-7", broken));
}

std::string Nested(std::string_view open, std::string_view close,
                   std::size_t levels) {
  std::string text;
  for (std::size_t i = 0; i < levels; ++i) text += open;
  for (std::size_t i = 0; i < levels; ++i) text += close;
  return text;
}

std::string ManyLabels() {
  std::string list = "[0";
  for (int i = 0; i < 10000; ++i) list += ",0";
  return list + "]";
}

// Guards against a process that ends, or stops following the list, because of
// one odd entry.
TEST_CASE("an entry with a field out of range names the field", "[platform]") {
  struct odd_field {
    std::string field;
    std::string from;
    std::string to;
  };
  const auto odd = GENERATE(values<odd_field>(
      {{"address", "10.0.0.9:80", "10.0.0.9:99999"},
       {"address", "10.0.0.9:80", "10.0.0.9:0"},
       {"address", "10.0.0.9:80", "10.0.0.9:-1"},
       {"address", "10.0.0.9:80", "10.0.0.9"},
       {"address", "10.0.0.9:80", "10.0.0.9:18446744073709551617"},
       {"address", "10.0.0.9:80", ""},
       {"address", "10.0.0.9:80", "host.example:80"},
       {"capacity.cpu", "16000", "9223372036854775807"},
       {"capacity.cpu", "16000", "92233720368547758070"},
       {"capacity.cpu", "16000", "1e300"},
       {"capacity.cpu", "16000", "-1"},
       {"capacity.memory_request_mb", "32768", "-9223372036854775808"},
       {"capacity.gpu", R"("gpu":0)", R"("gpu":-1)"},
       {"born", R"("born":17)", R"("born":9223372036854775807)"},
       {"born", R"("born":17)", R"("born":-1)"},
       {"born", R"("born":17)", R"("born":"17")"},
       {"slots", R"("slots":8)", R"("slots":4294967296)"},
       {"sequence", R"("sequence":4)", R"("sequence":{})"},
       {"zone", R"("zone":"z")", R"("zone":"\udead")"},
       {"labels", R"(["a","r1-3"])", ManyLabels()},
       {"state", "ready", std::string(5000, 'x')}}));
  const auto info =
      ReadExecutor("servers/i-7", Replaced(kEntry, odd.from, odd.to));
  REQUIRE_FALSE(info);
  CHECK(info.error().code == core::error_code::kProtocol);
  CHECK(info.error().detail.size() < 256);
  // A lone surrogate is no JSON text at all.
  if (odd.field != "zone") CHECK(info.error().detail.starts_with(odd.field));
}

TEST_CASE("a key that holds no executor's id is rejected", "[platform]") {
  const std::string id =
      GENERATE(std::string(), std::string("a b"), std::string("a\r\nX: 1"),
               std::string("\xc4\x8d"), std::string(300, 'a'));
  CHECK_FALSE(ReadExecutor("servers/" + id, kEntry));
}

// Guards against a parser that recurses once a level and exhausts its stack.
TEST_CASE("deeply nested documents are rejected", "[platform]") {
  const std::size_t levels = GENERATE(33, 1000, 120'000, 500'000);
  const std::string deep =
      GENERATE_COPY(Nested("[", "]", levels), Nested(R"({"a":)", "}", levels),
                    Nested("[", "", levels), Nested(R"([{"a":)", "}]", levels));
  CHECK_FALSE(ReadExecutor("servers/i-7", deep));
  CHECK_FALSE(ReadExecutor(
      "servers/i-7", Replaced(kEntry, R"("slots":8)", R"("extra":)" + deep)));
  CHECK_FALSE(ReadManifest(R"({"version":1,"routes":[],"x":)" + deep + "}"));
  CHECK_FALSE(ReadJob(R"({"spec":"","steps":[{}],"x":)" + deep + "}"));
}

TEST_CASE("nesting of a usual depth in an unknown field is accepted",
          "[platform]") {
  const std::string extra = R"("extra":)" + Nested("[", "]", 16);
  CHECK(ReadExecutor("servers/i-7", Replaced(kEntry, R"("slots":8)", extra)));
}

TEST_CASE("a manifest with a number out of range names the field",
          "[platform]") {
  const std::string wrong =
      GENERATE(std::string(R"("priority":9223372036854775807)"),
               std::string(R"("max_attempts":4294967297)"),
               std::string(R"("stretch":1e200)"),
               std::string(R"("target_duration_ms":9223372036854775807)"),
               std::string(R"("timeout_ms":-1)"));
  const auto manifest = ReadManifest(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
      R"("service":"s",)" +
      wrong + "}]}");
  REQUIRE_FALSE(manifest);
  const std::string name = wrong.substr(1, wrong.find(':') - 2);
  CHECK(manifest.error().detail.starts_with("routes[0]." + name));
}

TEST_CASE("queues, services and limits of a manifest are parsed",
          "[platform]") {
  const auto manifest = ReadManifest(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
      R"("kind":"unsafe","timeout_ms":3000,"target_duration_ms":2500,)"
      R"("priority":1,"service":"s","max_attempts":3,"stretch":2.2}],)"
      R"("services":[{"name":"s","enforces_capacity":true}],)"
      R"("limits":{"max_header_bytes":1000,"max_body_bytes":2000}})");
  REQUIRE(manifest);
  CHECK(manifest->version == 7);
  REQUIRE(manifest->queues.size() == 1);
  CHECK(manifest->queues[0].target_duration == core::milliseconds(2500));
  CHECK(manifest->queues[0].stretch == Approx(2.2));
  CHECK(manifest->queues[0].max_attempts == 3);
  CHECK(manifest->services[0].enforces_capacity);
  CHECK(manifest->limits.max_body_bytes == 2000);
}

TEST_CASE("a queue's advice is parsed, and has defaults", "[platform]") {
  const auto read = [](const std::string& advice) {
    return ReadManifest(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
        R"("service":"s")" +
        advice + "}]}");
  };
  const auto stated = read(
      R"(,"advice":{"decision_ms":150,"per_worker_ms":3,"valid_ms":2500})");
  REQUIRE(stated);
  CHECK(stated->queues[0].advised);
  CHECK(stated->queues[0].advice.decision == core::milliseconds(150));
  CHECK(stated->queues[0].advice.per_executor == core::milliseconds(3));
  CHECK(stated->queues[0].advice.valid == core::milliseconds(2500));
  const auto omitted = read(R"(,"advice":{})");
  REQUIRE(omitted);
  CHECK(omitted->queues[0].advised);
  CHECK(omitted->queues[0].advice.valid == core::milliseconds(3000));
  const auto without = read("");
  REQUIRE(without);
  CHECK_FALSE(without->queues[0].advised);
  const auto wrong = read(R"(,"advice":{"decision_ms":-1})");
  REQUIRE_FALSE(wrong);
  CHECK(wrong.error().detail.starts_with("routes[0].advice.decision_ms"));
}

TEST_CASE("a manifest with missing or mistyped fields is rejected",
          "[platform]") {
  CHECK_FALSE(ReadManifest("{}"));
  CHECK_FALSE(ReadManifest(R"({"version":1,"routes":[{"name":"r"}]})"));
  CHECK_FALSE(ReadManifest(R"({"version":"1","routes":[]})"));
}

TEST_CASE("omitted fields of a submission get their defaults", "[platform]") {
  const auto job = ReadJob(
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"affinity":"r1-3"},)"
      R"({"count":2,"after":[0],"long_running":true,"target_ms":18,)"
      R"("max_per_server":1,"fills":true,"image":"x","may_miss":2}]})");
  REQUIRE(job);
  REQUIRE(job->steps_size() == 2);
  CHECK(job->steps(0).task_count() == 4);
  CHECK(job->steps(0).data_rack() == "r1-3");
  CHECK(job->steps(0).memory_mb() == 0);
  CHECK(job->steps(1).after(0) == 0);
  CHECK(job->steps(1).max_per_executor() == 1);
  CHECK(job->steps(1).may_miss() == 2);
  CHECK(job->repetitions() == 0);
}

TEST_CASE("a malformed submission is rejected as an invalid request",
          "[platform]") {
  const std::string body = GENERATE(
      std::string(""), std::string("{}"), std::string(R"({"steps":[]})"),
      std::string(R"({"steps":[{"count":0}]})"),
      std::string(R"({"steps":[{"count":1,"after":[0]}]})"),
      std::string(R"({"steps":[{"count":1,"cpu":-1}]})"),
      std::string(R"({"steps":[{"count":100000}]})"));
  const auto job = ReadJob(body);
  REQUIRE_FALSE(job);
  CHECK(job.error().code == core::error_code::kInvalidRequest);
}

// Guards against sums and products that overflow, and against a caller that is
// not told which field is wrong.
TEST_CASE("a submission with a number out of range names the field",
          "[platform]") {
  const std::string field =
      GENERATE(std::string("cpu"), std::string("memory_request_mb"),
               std::string("gpu"), std::string("estimated_ms"),
               std::string("target_ms"), std::string("max_per_server"),
               std::string("may_miss"), std::string("count"));
  const std::string value = GENERATE(
      std::string("9223372036854775807"), std::string("-1"),
      std::string("1e300"), std::string(R"("many")"), std::string("[]"));
  const auto job =
      ReadJob(R"({"steps":[{},{")" + field + R"(":)" + value + "}]}");
  REQUIRE_FALSE(job);
  CHECK(job.error().code == core::error_code::kInvalidRequest);
  CHECK(job.error().detail.starts_with("steps[1]." + field));
}

// Guards against a job whose state exceeds a leader's memory though each number
// is in its range.
TEST_CASE("a submission with too many tasks in all is rejected with the reason",
          "[platform]") {
  const std::string step = R"({"count":4096})";
  CHECK(ReadJob(R"({"steps":[)" + step + "," + step + R"(]})"));
  const auto job =
      ReadJob(R"({"steps":[)" + step + "," + step + R"(,{"count":1}]})");
  REQUIRE_FALSE(job);
  CHECK(job.error().code == core::error_code::kInvalidRequest);
  CHECK(job.error().detail == "steps have more than 8192 tasks in all");
}

TEST_CASE("occurrences beyond the range of the clock are rejected",
          "[platform]") {
  const std::string times = GENERATE(
      std::string(R"("first_run_ms":9223372036854775807)"),
      std::string(R"("first_run_ms":-1)"),
      std::string(R"("interval_ms":9223372036854775807)"),
      std::string(R"("first_run_ms":4000000000000,"interval_ms":31000000000)"));
  const auto job =
      ReadJob(R"({"steps":[{}],"repetitions":1000,)" + times + "}");
  REQUIRE_FALSE(job);
  CHECK(job.error().code == core::error_code::kInvalidRequest);
}

TEST_CASE("text that is not UTF-8 is rejected", "[platform]") {
  // It could not be read back from a job's record.
  CHECK_FALSE(ReadJob("{\"spec\":\"\xff\",\"steps\":[{}]}"));
  CHECK_FALSE(ReadJob(R"({"spec":"\udead","steps":[{}]})"));
}

TEST_CASE("a task's name is parsed back to the same task", "[platform]") {
  const fleet::task_ref task{
      .job = "5c0e7a21d94b36f8", .occurrence = 0, .step = 1, .index = 17};
  CHECK(platform::TaskName(task) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(platform::ReadTaskName("5c0e7a21d94b36f8.0.1.17") == task);
  CHECK_FALSE(platform::ReadTaskName("5c0e7a21d94b36f8.0.1"));
  CHECK_FALSE(platform::ReadTaskName("5c0e7a21d94b36f8.0.1.17.3"));
  CHECK_FALSE(platform::ReadTaskName("x.a.b.c"));
}

}  // namespace
}  // namespace waxwingfront::tests
