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
