#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>

#include "overload_model/settings.h"
#include "overload_model/simulation.h"

namespace waxwingfront::overload_model {
namespace {

constexpr std::int64_t kMeasuredMs = 35'000;
constexpr double kMinShareOfBest = 0.8;

int LargeJobsOnTime(const model_settings& settings, double load) {
  int sum = 0;
  for (const std::uint64_t seed : {1, 2, 3}) {
    const load_result result = Simulate(
        settings, {.load = load, .seed = seed, .measured_ms = kMeasuredMs});
    for (const class_result& jobs : result.classes) {
      if (jobs.name == "large") sum += jobs.Ended(job_outcome::kOnTime);
    }
  }
  return sum;
}

}  // namespace

TEST_CASE("jobs on time do not collapse above the knee", "[overload]") {
  const model_settings settings = LoadSettings(WAXWINGFRONT_OVERLOAD_SETTINGS);
  int best = 0;
  for (const double load : {1.0, 1.25, 1.5, 2.0, 3.0}) {
    CAPTURE(load, best);
    const int on_time = LargeJobsOnTime(settings, load);
    CHECK(on_time >= kMinShareOfBest * best);
    best = std::max(best, on_time);
  }
}

}  // namespace waxwingfront::overload_model
