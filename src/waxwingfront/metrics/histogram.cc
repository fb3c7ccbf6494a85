#include "waxwingfront/metrics/histogram.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <functional>
#include <mutex>
#include <thread>

namespace waxwingfront::metrics {
namespace {

namespace acc = boost::accumulators;
using accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;

std::size_t BucketIndex(double seconds) {
  const auto* found =
      std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), seconds);
  return static_cast<std::size_t>(found - kBucketBounds.begin());
}

}  // namespace

struct histogram::stripe {
  mutable std::mutex mutex;
  accumulator values;
  std::array<std::uint64_t, kBucketBounds.size() + 1> buckets{};
};

histogram::histogram()
    : stripes_(std::make_unique<std::array<stripe, kStripes>>()) {}

histogram::~histogram() = default;

void histogram::Observe(double seconds) {
  const std::size_t thread =
      std::hash<std::thread::id>{}(std::this_thread::get_id());
  stripe& local = (*stripes_)[thread % kStripes];
  const std::lock_guard lock(local.mutex);
  local.values(seconds);
  ++local.buckets[BucketIndex(seconds)];
}

histogram_totals histogram::Totals() const {
  histogram_totals totals;
  for (const stripe& current : *stripes_) {
    const std::lock_guard lock(current.mutex);
    const auto count = acc::count(current.values);
    if (count == 0) continue;
    totals.count += count;
    totals.sum += acc::sum(current.values);
    totals.maximum = std::max(totals.maximum, acc::max(current.values));
    for (std::size_t index = 0; index < current.buckets.size(); ++index) {
      totals.buckets[index] += current.buckets[index];
    }
  }
  return totals;
}

}  // namespace waxwingfront::metrics
