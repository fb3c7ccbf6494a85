// Histogram of durations.
#ifndef WAXWINGFRONT_METRICS_HISTOGRAM_H_
#define WAXWINGFRONT_METRICS_HISTOGRAM_H_

#include <array>
#include <cstdint>
#include <memory>

namespace waxwingfront::metrics {

// Upper bounds of the buckets, in seconds.
inline constexpr std::array kBucketBounds = {0.0005, 0.001, 0.002, 0.005, 0.01,
                                             0.02,   0.05,  0.1,   0.2,   0.5,
                                             1.0,    2.0,   5.0,   10.0};

struct histogram_totals {
  std::uint64_t count = 0;
  // In seconds, as is `maximum`.
  double sum = 0;
  double maximum = 0;
  // Number of values per bucket, not cumulative; the last bucket counts values
  // above all bounds.
  std::array<std::uint64_t, kBucketBounds.size() + 1> buckets{};
};

// Thread-safe. Each thread updates one of several stripes, so that threads
// rarely contend for a lock.
class histogram {
 public:
  histogram();
  histogram(const histogram&) = delete;
  histogram& operator=(const histogram&) = delete;
  ~histogram();

  void Observe(double seconds);
  histogram_totals Totals() const;

 private:
  struct stripe;
  static constexpr std::size_t kStripes = 16;
  std::unique_ptr<std::array<stripe, kStripes>> stripes_;
};

}  // namespace waxwingfront::metrics

#endif  // WAXWINGFRONT_METRICS_HISTOGRAM_H_
