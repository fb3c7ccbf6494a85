#include "overload_model/result.h"

namespace waxwingfront::overload_model {

namespace statistics = boost::accumulators;

sample_set EmptySampleSet() {
  constexpr std::size_t kSamples = 100'000;
  return sample_set(statistics::tag::tail<statistics::left>::cache_size =
                        kSamples);
}

double MeanOf(const sample_set& samples) {
  return statistics::count(samples) == 0 ? 0.0 : statistics::mean(samples);
}

double QuantileOf(const sample_set& samples, double probability) {
  if (statistics::count(samples) == 0) return 0.0;
  return statistics::quantile(samples,
                              statistics::quantile_probability = probability);
}

}  // namespace waxwingfront::overload_model
