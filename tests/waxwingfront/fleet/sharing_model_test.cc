#include "waxwingfront/fleet/sharing_model.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using fleet::sharing_model;

constexpr double kBaseMs = 4.0;
constexpr double kCapacityMillis = 32'000.0;
constexpr int kExecutors = 12;

// Feeds reports in which "heavy" interferes with "soft" by 0.05 per core and no
// other pair interferes, with loads that oscillate as on the recorded days.
void PlayReports(sharing_model& model, int reports) {
  std::mt19937 random(1);
  for (int n = 0; n < reports; ++n) {
    const double seconds = 0.05 * n;
    const std::string executor = "e" + std::to_string(random() % kExecutors);
    const std::vector<sharing_model::best_effort_usage> best_effort = {
        {.image = "heavy",
         .cpu_millis = 1000.0 * static_cast<double>(random() % 5)},
        {.image = "light",
         .cpu_millis = 1000.0 * static_cast<double>(random() % 8)}};
    const double load = 0.42 + 0.2 * std::sin(seconds / 1.6);
    const double with_interference =
        load + 0.05 * best_effort[0].cpu_millis / 1000.0;
    const auto index = static_cast<std::uint32_t>(random() % 6);
    const std::vector<sharing_model::serving_latency> serving = {
        {.job = "soft-job",
         .index = index,
         .image = "soft",
         .tail_ms =
             std::round(kBaseMs / (1.0 - std::min(0.98, with_interference)))},
        {.job = "hard-job",
         .index = index,
         .image = "hard",
         .tail_ms = std::round(kBaseMs / (1.0 - load))}};
    const auto at = At(static_cast<std::int64_t>(seconds * 1000.0)).now;
    // The tail latencies of a report belong to the tasks that ran before it.
    model.RemoveExecutor(executor);
    model.Observe(executor, kCapacityMillis, best_effort, serving, at);
  }
}

TEST_CASE(
    "the interference of each pair of images is estimated from tail latencies",
    "[fleet]") {
  sharing_model model;
  PlayReports(model, 600);
  CHECK(model.Interference("soft", "heavy") == Approx(0.05).margin(0.02));
  CHECK(model.Interference("soft", "light") < 0.01);
  CHECK(model.Interference("hard", "heavy") < 0.01);
  CHECK(model.Interference("hard", "light") < 0.01);
  CHECK(model.Similarity("soft", "hard") < 0.5);
}

TEST_CASE("images without reports are dissimilar and interfere by the prior",
          "[fleet]") {
  const sharing_model model;
  CHECK(model.Interference("any", "other") > 0.0);
  CHECK(model.Similarity("any", "any") == 1.0);
  CHECK(model.Similarity("any", "other") == 0.0);
  CHECK_FALSE(model.OwnLoad("job", 1.0).has_value());
}

TEST_CASE("a later leader restores the estimated interference", "[fleet]") {
  sharing_model first;
  PlayReports(first, 600);
  sharing_model second;
  second.Restore(first.ToRecord());
  CHECK(second.Interference("soft", "heavy") ==
        Approx(first.Interference("soft", "heavy")));
  CHECK(second.Interference("hard", "heavy") ==
        Approx(first.Interference("hard", "heavy")));
  CHECK(second.Utilisation("soft", 18.0) ==
        Approx(first.Utilisation("soft", 18.0)));
}

// Guards against reports that a record read late undoes.
TEST_CASE("a restored record keeps a lower tail latency that was reported",
          "[fleet]") {
  sharing_model model;
  const std::vector<sharing_model::serving_latency> serving = {
      {.job = "job", .index = 0, .image = "soft", .tail_ms = 10.0}};
  model.Observe("e", kCapacityMillis, {}, serving, At(0).now);
  const double before = model.Utilisation("soft", 18.0);
  schema::fleet_sharing record;
  schema::fleet_sharing::serving_image& row = *record.add_serving_images();
  row.set_image("soft");
  row.set_base_ms(15.0);
  model.Restore(record);
  CHECK(model.Utilisation("soft", 18.0) == before);
  row.set_base_ms(0.0);
  model.Restore(record);
  CHECK(model.Utilisation("soft", 18.0) == before);
  row.set_base_ms(1.0);
  model.Restore(record);
  CHECK(model.Utilisation("soft", 18.0) > before);
}

TEST_CASE("a rising own load is extrapolated", "[fleet]") {
  sharing_model model;
  for (int n = 0; n < 30; ++n) {
    const double load = 0.2 + 0.01 * n;
    const std::vector<sharing_model::serving_latency> serving = {
        {.job = "job",
         .index = 0,
         .image = "soft",
         .tail_ms = kBaseMs / (1.0 - load)}};
    model.Observe("e", kCapacityMillis, {}, serving,
                  At(std::int64_t{n} * 100).now);
  }
  REQUIRE(model.OwnLoad("job", 0.0).has_value());
  CHECK(*model.OwnLoad("job", 1.0) >= *model.OwnLoad("job", 0.0));
}

}  // namespace
}  // namespace waxwingfront::tests
