#include "waxwingfront/bundle/bundle_check.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace waxwingfront::bundle {
namespace {

constexpr std::string_view kValid = R"({
  "site": "jihlava",
  "weights": {"tail_latency": 1, "batch_throughput": 3, "evictions": 0},
  "services": [{"name": "dispatch", "failure_domains": ["trebic"],
    "reserve_per_executor": {"processor_milli": 8000, "memory_mib": 16000},
    "latency_target_ms": 50, "default_deadline_ms": "5000"}],
  "batch_classes": [{"name": "orders", "priority": 10, "urgent": false,
    "preemptible": true, "failure_domains": ["trebic"],
    "shares_hosts_with": ["dispatch"], "host_share_percent": 75,
    "max_failures": 3}],
  "customers": [{"name": "town", "quota": {"processor_milli": 1}, "weight": 2}]
})";

std::vector<std::string> ProblemPaths(std::string_view json) {
  std::vector<std::string> paths;
  for (const bundle_problem& problem : CheckBundle(json).problems) {
    CHECK_FALSE(problem.allowed.empty());
    paths.push_back(problem.field);
  }
  return paths;
}

// Returns the valid document with one part replaced.
std::string WithReplaced(std::string_view part, std::string_view replacement) {
  std::string json(kValid);
  const std::size_t position = json.find(part);
  REQUIRE(position != std::string::npos);
  return json.replace(position, part.size(), replacement);
}

TEST_CASE("a valid bundle has no problems", "[bundle][check]") {
  CHECK(ProblemPaths(kValid).empty());
}

// Guards against a check that stops at the first problem, so that an operator
// has to fix and resubmit the document once per problem.
TEST_CASE("every problem of a bundle is reported with its path",
          "[bundle][check]") {
  const std::vector<std::string> paths = ProblemPaths(R"({
    "site": "Jihlava", "weights": {"tail_latency": -1},
    "services": [{"name": "a", "failure_domains": ["x", "x"]}, {"name": "a",
      "reserve_per_executor": {"memory_mib": -1}, "latency_target_ms": -1}],
    "batch_classes": [{"name": "", "urgent": true, "preemptible": true,
      "shares_hosts_with": ["a", "b"], "host_share_percent": 101,
      "max_failures": 1}],
    "customers": [{"name": "c"}]})");
  const std::vector<std::string> expected{
      "site",
      "weights.tail_latency",
      "weights",
      "services[0].failure_domains[1]",
      "services[1].name",
      "services[1].reserve_per_executor.memory_mib",
      "services[1].latency_target_ms",
      "batch_classes[0].name",
      "batch_classes[0].shares_hosts_with[1]",
      "batch_classes[0].host_share_percent",
      "batch_classes[0].preemptible",
      "customers[0].weight"};
  CHECK(paths == expected);
}

// Guards against misspelt fields that are silently ignored, and against values
// of the wrong type that hide later problems.
TEST_CASE("unknown fields and values of the wrong type are reported",
          "[bundle][check]") {
  const std::vector<std::string> paths = ProblemPaths(R"({
    "sites": 1, "site": 4, "weights": [], "services": {},
    "batch_classes": [{"name": "a", "name": "b", "urgnt": {"x": [1, {}]},
      "priority": 5000000000, "host_share_percent": 1.5, "urgent": "yes"}, 7],
    "customers": [{"quota": {"memory": 1, "memory_mib": "many"},
      "weight": null}]})");
  const std::vector<std::string> expected{"sites",
                                          "site",
                                          "weights",
                                          "services",
                                          "batch_classes[0].name",
                                          "batch_classes[0].urgnt",
                                          "batch_classes[0].priority",
                                          "batch_classes[0].host_share_percent",
                                          "batch_classes[0].urgent",
                                          "batch_classes[1]",
                                          "customers[0].quota.memory",
                                          "customers[0].quota.memory_mib",
                                          "customers[0].weight"};
  CHECK(paths == expected);
}

// Guards against a problem whose path is empty, so that the operator is not
// told where it is.
TEST_CASE("a member with an empty name is reported with a path",
          "[bundle][check]") {
  CHECK(ProblemPaths(WithReplaced(R"("site")", R"("": 1, "site")")) ==
        std::vector<std::string>{R"("")"});
  CHECK(ProblemPaths(
            WithReplaced(R"("tail_latency")", R"("": 0, "tail_latency")")) ==
        std::vector<std::string>{R"(weights."")"});
}

// Guards against documents that exceed the size limit of the store or of
// messages between entries.
TEST_CASE("the size of a bundle and of its lists is bounded",
          "[bundle][check]") {
  const std::string large = std::string(kValid) + std::string(524288, ' ');
  CHECK(ProblemPaths(large) == std::vector<std::string>{"document"});
  std::string services;
  for (int index = 0; index < 257; ++index) {
    services += R"({"name": "s)" + std::to_string(index) + "\"},";
  }
  const auto paths = ProblemPaths(
      WithReplaced(R"("services": [)", R"("services": [)" + services));
  CHECK(paths == std::vector<std::string>{"services"});
}

TEST_CASE("contradictory weights are reported", "[bundle][check]") {
  CHECK(ProblemPaths(WithReplaced(R"("batch_throughput": 3)",
                                  R"("batch_throughput": 0)"))
            .empty());
  CHECK(ProblemPaths(WithReplaced(
            R"({"tail_latency": 1, "batch_throughput": 3,)",
            R"({"tail_latency": 0,)")) == std::vector<std::string>{"weights"});
}

// Generates a JSON value of any type.
rc::Gen<std::string> AnyValue() {
  return rc::gen::element<std::string>(
      "null", "true", "-1", "0", "1", "75", "9223372036854775808", "1e400",
      "0.5", "\"\"", "\"dispatch\"", "\"17\"", "\"\\u0000\"", "\"\xff\"", "[]",
      "{}", "[[]]", "[{}]", "{\"name\": []}", "[\"dispatch\", 1]", "", "]");
}

// Generates documents by replacing a few spans of the valid document, so that
// most of its structure is preserved.
rc::Gen<std::string> AlmostValid() {
  return rc::gen::exec([] {
    std::string json(kValid);
    const int changes = *rc::gen::inRange(0, 4);
    for (int change = 0; change < changes; ++change) {
      const auto begin = *rc::gen::inRange<std::size_t>(0, json.size());
      const std::size_t value = json.find(':', begin);
      if (*rc::gen::arbitrary<bool>() && value != std::string::npos) {
        const std::size_t end = json.find_first_of(",}", value);
        json.replace(value + 1, end - value - 1, *AnyValue());
      } else {
        json.replace(begin, *rc::gen::inRange<std::size_t>(0, 12),
                     *rc::gen::arbitrary<std::string>());
      }
    }
    return json;
  });
}

// Guards against documents that make the check throw, or that are rejected
// without the path of a field.
TEST_CASE("any document is accepted whole or refused with a path",
          "[bundle][check][property]") {
  const auto check_document = [](const std::string& json) {
    const checked_bundle checked = CheckBundle(json);
    for (const bundle_problem& problem : checked.problems) {
      RC_ASSERT(!problem.field.empty());
      RC_ASSERT(!problem.allowed.empty());
    }
    RC_CLASSIFY(checked.problems.empty(), "accepted");
    if (!checked.problems.empty()) return;
    // Scheduling decisions rely on these properties without checking them
    // again.
    for (const auto& item : checked.content.batch_classes()) {
      RC_ASSERT(!item.name().empty());
      RC_ASSERT(item.host_share_percent() >= 1);
      RC_ASSERT(item.host_share_percent() <= 100);
      RC_ASSERT(!(item.urgent() && item.preemptible()));
    }
    for (const auto& customer : checked.content.customers())
      RC_ASSERT(customer.weight() >= 1);
  };
  rc::prop("documents that differ little from a valid one",
           [check_document] { check_document(*AlmostValid()); });
  rc::prop("any text",
           [check_document](const std::string& text) { check_document(text); });
}

}  // namespace
}  // namespace waxwingfront::bundle
