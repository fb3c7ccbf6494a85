#include "waxwingfront/metrics/registry.h"

#include <catch2/catch.hpp>
#include <regex>
#include <sstream>

namespace waxwingfront::metrics {
namespace {

// Guards against output that a Prometheus scraper rejects.
TEST_CASE("metrics are exported in the Prometheus text format", "[metrics]") {
  registry all;
  all.Counter("requests_total", {{"customer", "a\"b\\c\nd"}}).Add(3);
  all.Gauge("shards").Set(-2);
  histogram& times = all.Histogram("seconds", {{"service", "dispatch"}});
  times.Observe(0.0005);
  times.Observe(0.3);
  times.Observe(60);
  const std::string text = all.Text();

  SECTION("every line is a type line or a sample") {
    const std::regex type_line("# TYPE [a-z_]+ (counter|gauge|histogram)");
    const std::regex sample(
        R"re([a-z_]+(\{[a-z_]+="([^"\\]|\\.)*"(,[a-z_]+="([^"\\]|\\.)*")*\})? -?[0-9.e+-]+)re");
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
      CAPTURE(line);
      CHECK((std::regex_match(line, type_line) ||
             std::regex_match(line, sample)));
    }
    CHECK(text.back() == '\n');
  }
  SECTION("label values are escaped") {
    CHECK(text.find("requests_total{customer=\"a\\\"b\\\\c\\nd\"} 3\n") !=
          std::string::npos);
  }
  SECTION("histogram buckets are cumulative up to the total count") {
    const std::string prefix = "seconds_bucket{service=\"dispatch\",le=";
    CHECK(text.find(prefix + "\"0.0005\"} 1\n") != std::string::npos);
    CHECK(text.find(prefix + "\"0.2\"} 1\n") != std::string::npos);
    CHECK(text.find(prefix + "\"0.5\"} 2\n") != std::string::npos);
    CHECK(text.find(prefix + "\"10\"} 2\n") != std::string::npos);
    CHECK(text.find(prefix + "\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("seconds_sum{service=\"dispatch\"} 60.3005\n") !=
          std::string::npos);
    CHECK(text.find("seconds_count{service=\"dispatch\"} 3\n") !=
          std::string::npos);
  }
}

// Guards against sums that stop increasing once they exceed 6 digits.
TEST_CASE("a large sum of seconds keeps its fraction", "[metrics]") {
  registry all;
  all.Histogram("seconds").Observe(1234567);
  all.Histogram("seconds").Observe(0.25);
  CHECK(all.Text().find("seconds_sum 1234567.25\n") != std::string::npos);
}

}  // namespace
}  // namespace waxwingfront::metrics
