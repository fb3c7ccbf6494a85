// End-to-end tests with separate processes.
#include <catch2/catch.hpp>

#include "support/process_site.h"

namespace waxwingfront::tests {
namespace {

constexpr std::string_view kJob = R"({"id": "orders-1", "customer": "jihlava",
  "batch_class": "orders", "task_count": 3, "command": "sleep:200",
  "task_size": {"processor_milli": 1000, "memory_mib": 100}})";

// Guards against components that work together only within one process.
TEST_CASE("separate processes run a job once and report it finished",
          "[process][job]") {
  process_site site({.entries = 2, .workers = 2, .executors = 1});
  REQUIRE(site.AwaitReady());
  REQUIRE(site.AwaitAccepted(0, kJob));
  REQUIRE(site.AwaitState(1, "orders-1", schema::JOB_STATE_FINISHED));

  const std::string journal =
      site.Journal(site.WorkerAddress(0)) + site.Journal(site.WorkerAddress(1));
  for (int task = 0; task < 3; ++task) {
    const std::string start = "start orders-1 " + std::to_string(task) + " ";
    const std::size_t first = journal.find(start);
    CHECK(first != std::string::npos);
    CHECK(journal.find(start, first + 1) == std::string::npos);
  }
}

// Guards against a response that is lost or altered between executor and
// caller.
TEST_CASE("separate processes respond to a request", "[process][request]") {
  process_site site({.entries = 2, .workers = 1, .executors = 1});
  REQUIRE(site.AwaitReady());
  const auto reply =
      site.Call(site.EntryAddress(1), "POST", "/v1/services/dispatch/orders",
                "fleece", {{"Waxwingfront-Customer", "jihlava"}});
  REQUIRE(reply.has_value());
  CHECK(reply->status == 200);
  CHECK(reply->body == "executor-0 POST /orders fleece");
}

}  // namespace
}  // namespace waxwingfront::tests
